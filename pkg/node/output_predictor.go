package node

import (
	"github.com/citrongate/citrongate/pkg/scheduler/predict"
)

// outputPredictor predicts the output tokens of a request from earlier answers to the
// same kind and organisation.
type outputPredictor struct{ predictor *predict.Predictor }

func newOutputPredictor() outputPredictor {
	return outputPredictor{predictor: predict.New(predict.Config{})}
}

// predict returns the mean and the 0.9 quantile of the predicted output tokens,
// both at most what the caller or the kind allows. Calls to plain services have
// none.
func (l *outputPredictor) predict(n *Node, r *request) (mean, high uint32) {
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
	e := l.predictor.Predict(n.kinds.intern(r.Kind), n.orgs.intern(r.Organisation))
	return max(min(bound, e.Mean), 1), max(min(bound, e.High), 1)
}

func (l *outputPredictor) observe(n *Node, r *request, tokens uint32) {
	if n.set.Kinds[r.Kind].GetRequestKind().GetModelCall() {
		l.predictor.Observe(n.kinds.intern(r.Kind), n.orgs.intern(r.Organisation), tokens)
	}
}
