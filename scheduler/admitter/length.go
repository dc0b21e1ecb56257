package admitter

// The quantiles of output lengths that decide whether a request can finish in
// time. Lengths vary a hundredfold, so a mean would let through much that
// can't, and waste its prefill. An upstream that would finish all but the
// longest goes before others; one that would not finish most is not used.
const (
	lengthQuantile = 0.98
	likelyQuantile = 0.8
	// lengthStep is the part of the estimate by which a sample moves it.
	lengthStep = 0.05
	// lengthSamples is how many answers must have been seen before the
	// estimate counts.
	lengthSamples = 20
)

// lengths follows a quantile of the output lengths of one workspace, without
// keeping samples.
type lengths struct {
	longest float64
	likely  float64
	seen    int
}

// observe moves the estimates towards their quantiles by one sample.
func (l *lengths) observe(tokens int) {
	l.seen++
	l.longest = towards(l.longest, float64(tokens), lengthQuantile)
	l.likely = towards(l.likely, float64(tokens), likelyQuantile)
}

// towards moves an estimate towards a quantile by one sample; the first sample
// is taken whole.
func towards(estimate, sample, quantile float64) float64 {
	if estimate == 0 {
		return sample
	}
	step := max(estimate*lengthStep, 1)
	if sample > estimate {
		return estimate + step*quantile
	}
	return estimate - step*(1-quantile)
}

// expect returns how many tokens to expect of a request whose caller
// allows at most limit, at the longest and for most; what the caller says is
// taken as long as too few answers were seen.
func (l *lengths) expect(limit int) (longest, likely int) {
	if l.seen < lengthSamples {
		return limit, limit
	}
	return min(limit, int(l.longest)), min(limit, int(l.likely))
}
