package adminapi

import (
	"encoding/json"
	"net/http"

	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// maxArgumentBytes bounds the argument of an order.
const maxArgumentBytes = 1 << 10

// order has an order sent under the upstream's lease and writes the result.
func (a *API) order(w http.ResponseWriter, r *http.Request, op operator) *apiError {
	order, problem := parseOrder(r)
	if problem != nil {
		return problem
	}
	if op.readOnly {
		return forbidden("operator "+op.name+" may only read", "use the token of an operator without read_only")
	}
	upstream := a.upstream(order.Upstream)
	if upstream == nil {
		return &apiError{status: http.StatusNotFound, Code: "not_found", Reason: "there is no such upstream", Remedy: "see citrongate get upstreams"}
	}
	if op.team != "" && upstream.GetMeta().GetLabels()[teamLabel] != op.team {
		return forbidden("operator "+op.name+" may only give orders to upstreams with label team="+op.team, "ask an operator without a team")
	}
	status, known := a.backend.Order(r.Context(), order)
	if !known {
		status = node.OrderUnknown
	}
	a.log.Info().Str("operator", op.name).Str("upstream", order.Upstream).Str("verb", order.Verb).Uint8("status", uint8(status)).Msg("order")
	if status == node.OrderApplied {
		writeJSON(w, http.StatusOK, struct{}{})
		return nil
	}
	return orderError(status)
}

// upstream returns an upstream of the configuration in force, or nil.
func (a *API) upstream(name string) *pb.Object {
	set := a.backend.Set()
	if set == nil {
		return nil
	}
	return set.Upstreams[name]
}

// parseOrder reads and validates the body of an order.
func parseOrder(r *http.Request) (adminwire.Order, *apiError) {
	var order adminwire.Order
	body, problem := readBody(r)
	if problem != nil {
		return order, problem
	}
	if err := json.Unmarshal(body, &order); err != nil {
		return order, invalid("the body is not an order: "+err.Error(), "send JSON with upstream, verb and argument")
	}
	if order.Verb == "" || len(validation.IsValidLabelValue(order.Verb)) > 0 || len(order.Argument) > maxArgumentBytes {
		return order, invalid("the verb is not a word of up to 63 characters, or the argument is longer than 1024 bytes",
			"send for example verb load_model and argument small-v2")
	}
	return order, nil
}

// orderError returns the error response of an order that was not applied, or whose
// result is unknown.
func orderError(status node.OrderStatus) *apiError {
	switch status {
	case node.OrderNotSent:
		return &apiError{status: http.StatusServiceUnavailable, Code: "not_sent",
			Reason: "the order was not sent: the upstream refused the connection or the order, or its lease could not be taken",
			Remedy: "check the upstream and the store with citrongate status, then give the order again"}
	case node.OrderRefusedFencing:
		return &apiError{status: http.StatusConflict, Code: "conflict",
			Reason: "another instance has given the upstream a later order", Remedy: "check the state of the upstream before giving the order again"}
	}
	return &apiError{status: http.StatusGatewayTimeout, Code: "outcome_unknown",
		Reason: "it is not known whether the upstream carried the order out", Remedy: "check the state of the upstream before giving the order again"}
}
