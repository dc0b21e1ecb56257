package admitter

// These quantiles of the output length decide whether a request can finish in
// time. Output lengths vary a hundredfold, so a mean would admit many requests
// that miss their deadline, and their prefill would be wasted. An upstream that
// would finish all but the longest outputs is preferred; one that would not
// finish most of them is not used while other requests wait for it.
const (
	longestQuantile = 0.98
	likelyQuantile  = 0.8
	// lengthStep is the largest fraction of the estimate by which one sample
	// moves it.
	lengthStep = 0.05
	// minLengthSamples is the number of responses required before the estimate
	// is used.
	minLengthSamples = 20
)

// outputLengths estimates quantiles of the output length of one workspace, in
// tokens, without storing samples.
type outputLengths struct {
	longest float64
	likely  float64
	samples int
}

// observe updates the estimates with the output length of one response.
func (l *outputLengths) observe(tokens int) {
	l.samples++
	l.longest = moveTowards(l.longest, float64(tokens), longestQuantile)
	l.likely = moveTowards(l.likely, float64(tokens), likelyQuantile)
}

// moveTowards moves an estimate towards a quantile by one sample. The first
// sample becomes the estimate.
func moveTowards(estimate, sample, quantile float64) float64 {
	if estimate == 0 {
		return sample
	}
	step := max(estimate*lengthStep, 1)
	if sample > estimate {
		return estimate + step*quantile
	}
	return estimate - step*(1-quantile)
}

// expect returns the expected output tokens of a request whose caller allows at
// most limit: longest covers nearly all requests, likely most of them. Both are
// limit while there are too few samples.
func (l *outputLengths) expect(limit int) (longest, likely int) {
	if l.samples < minLengthSamples {
		return limit, limit
	}
	return min(limit, int(l.longest)), min(limit, int(l.likely))
}
