package answer

// Execution is what is known about whether a request ran, over all its sends. The
// zero value says that it has not run. It only moves from RanNo over RanUnknown to
// RanYes, so that a later send that certainly did not run never hides an earlier
// one that may have run.
type Execution struct{ ran Ran }

// Add records what is known of one more send.
func (e *Execution) Add(ran Ran) {
	if certainty(ran) > certainty(e.ran) {
		e.ran = ran
	}
}

// Ran returns what is known about whether the request ran.
func (e Execution) Ran() Ran {
	if e.ran == "" {
		return RanNo
	}
	return e.ran
}

// Restrict returns the refusal with a Ran that is true for all sends: it claims
// less than the refusal alone if an earlier send ran or may have run.
func (e Execution) Restrict(refusal Refusal) Refusal {
	e.Add(refusal.Ran)
	refusal.Ran = e.Ran()
	return refusal
}

// certainty orders the values of Ran. A value that is none of them counts as
// RanUnknown, since only RanNo promises that the request has not run.
func certainty(ran Ran) int {
	switch ran {
	case RanNo, "":
		return 0
	case RanYes:
		return 2
	}
	return 1
}
