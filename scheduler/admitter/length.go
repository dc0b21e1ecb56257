package admitter

// The quantile of output lengths that decides whether a request can finish in
// time. Lengths vary a hundredfold, so a mean would let through much that
// can't, and waste its prefill.
const (
	lengthQuantile = 0.9
	// lengthStep is the part of the estimate by which a sample moves it.
	lengthStep = 0.05
	// lengthSamples is how many answers must have been seen before the
	// estimate counts.
	lengthSamples = 20
)

// lengths follows a quantile of the output lengths of one workspace, without
// keeping samples.
type lengths struct {
	estimate float64
	seen     int
}

// observe moves the estimate towards the quantile by one sample.
func (l *lengths) observe(tokens int) {
	n := float64(tokens)
	l.seen++
	if l.estimate == 0 {
		l.estimate = n
		return
	}
	step := max(l.estimate*lengthStep, 1)
	if n > l.estimate {
		l.estimate += step * lengthQuantile
	} else {
		l.estimate -= step * (1 - lengthQuantile)
	}
}

// expect returns how many tokens to reckon with for a request whose caller
// allows at most limit; what the caller says is taken as long as too few
// answers were seen.
func (l *lengths) expect(limit int) int {
	if l.seen < lengthSamples {
		return limit
	}
	return min(limit, int(l.estimate))
}
