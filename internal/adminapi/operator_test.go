package adminapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// backend records changes and orders and returns preset results.
type backend struct {
	set     *configstate.Set
	changes []Change
	result  ChangeResult
	orders  []adminwire.Order
	// orderStatus is the result of orders; 0 means that the result is not known in
	// time.
	orderStatus node.OrderStatus
}

func (b *backend) Apply(_ context.Context, c Change) (ChangeResult, bool) {
	b.changes = append(b.changes, c)
	return b.result, true
}
func (b *backend) Set() *configstate.Set                           { return b.set }
func (b *backend) Status(context.Context) (adminwire.Status, bool) { return adminwire.Status{}, false }
func (b *backend) Order(_ context.Context, o adminwire.Order) (node.OrderStatus, bool) {
	b.orders = append(b.orders, o)
	return b.orderStatus, b.orderStatus != 0
}
func (b *backend) Drain()           {}
func (b *backend) NotReady() string { return "starting" }
func (b *backend) Explain(context.Context, routing.Request) (adminwire.Explanation, bool) {
	return adminwire.Explanation{}, false
}

func tier(name, team string, version uint64) *pb.Object {
	return &pb.Object{Meta: &pb.ObjectMeta{Kind: "Tier", Name: name, Version: version, Labels: map[string]string{"team": team}}, Spec: &pb.Object_Tier{Tier: &pb.TierSpec{}}}
}

func operatorObject(name, token, team string) *pb.Object {
	return &pb.Object{Meta: &pb.ObjectMeta{Kind: "Operator", Name: name, Labels: map[string]string{"team": team}},
		Spec: &pb.Object_Operator{Operator: &pb.OperatorSpec{TokenSha256: []string{digest(token)}, Team: team}}}
}

func newAPI() (*API, *backend) {
	b := &backend{set: configstate.NewSet(5, []*pb.Object{
		tier("ours", "red", 3), tier("theirs", "blue", 4),
		operatorObject("red", "red-token", "red"), operatorObject("all", "all-token", ""),
	}), result: ChangeResult{Accepted: true, Revision: 6}}
	a := New(b, http.NotFoundHandler(), zerolog.Nop())
	a.SetOperators(NewOperators(b.set, digest("first-token")))
	return a, b
}

func call(a *API, method, path, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

// TestTeamRestriction guards against an operator of one team that changes objects
// of another team, moves objects between teams or grants itself more rights.
func TestTeamRestriction(t *testing.T) {
	const objects = "/admin/v1/objects/"
	for _, c := range []struct {
		method, path, token, body string
		status                    int
	}{
		{"PUT", objects + "Tier/ours", "red-token", `{"meta":{"labels":{"team":"red"}},"tier":{}}`, 200},
		{"PUT", objects + "Tier/new", "red-token", `{"meta":{"labels":{"team":"red"}},"tier":{}}`, 200},
		{"PUT", objects + "Tier/ours", "red-token", `{"meta":{"labels":{"team":"blue"}},"tier":{}}`, 403},
		{"PUT", objects + "Tier/ours", "red-token", `{"tier":{}}`, 403},
		{"PUT", objects + "Tier/theirs", "red-token", `{"meta":{"labels":{"team":"red"}},"tier":{}}`, 403},
		{"PUT", objects + "Operator/red", "red-token", `{"meta":{"labels":{"team":"red"}},"operator":{}}`, 403},
		{"DELETE", objects + "Tier/theirs", "red-token", "", 403},
		{"DELETE", objects + "Tier/ours", "red-token", "", 200},
		{"POST", "/admin/v1/apply", "red-token", `{"objects":[{"meta":{"kind":"Tier","name":"ours","labels":{"team":"red"}},"tier":{}},{"meta":{"kind":"Tier","name":"theirs"},"tier":{}}]}`, 403},
		{"POST", "/admin/v1/drain", "red-token", "", 403},
		{"PUT", objects + "Tier/theirs", "all-token", `{"tier":{}}`, 200},
		{"PUT", objects + "Tier/theirs", "first-token", `{"tier":{}}`, 200},
		{"PUT", objects + "Tier/theirs", "wrong", `{"tier":{}}`, 401},
	} {
		a, b := newAPI()
		w := call(a, c.method, c.path, c.token, c.body)
		require.Equal(t, c.status, w.Code, "%s %s %s: %s", c.method, c.path, c.token, w.Body)
		require.Equal(t, c.status == 200, len(b.changes) == 1, "a refused change must not reach the backend")
	}
}

// TestTeamChangeIsConditional guards against overwriting an object that was moved
// to another team after the operator's rights were checked: the change must be
// conditional on the version that was checked.
func TestTeamChangeIsConditional(t *testing.T) {
	a, b := newAPI()
	call(a, "PUT", "/admin/v1/objects/Tier/ours", "red-token", `{"meta":{"labels":{"team":"red"}},"tier":{}}`)
	require.True(t, b.changes[0].Conditional)
	require.Equal(t, uint64(3), b.changes[0].Puts[0].GetMeta().GetVersion())
	call(a, "PUT", "/admin/v1/objects/Tier/ours", "all-token", `{"tier":{}}`)
	require.False(t, b.changes[1].Conditional)
}

// TestChangeErrors guards against a change of unknown outcome, whose answer from the
// store was lost, that is reported as failed.
func TestChangeErrors(t *testing.T) {
	for code, status := range map[string]int{"conflict": 412, "invalid": 400, "store_unavailable": 503, "outcome_unknown": 503, "other": 500} {
		a, b := newAPI()
		b.result = ChangeResult{Code: code, Problems: []string{"p1"}}
		w := call(a, "PUT", "/admin/v1/objects/Tier/ours", "all-token", `{"tier":{}}`)
		require.Equal(t, status, w.Code)
		require.Contains(t, w.Body.String(), `"code":"`+code+`"`)
		require.Contains(t, w.Body.String(), "p1")
	}
	a, _ := newAPI()
	require.Equal(t, 503, call(a, "GET", "/admin/v1/status", "all-token", "").Code)
	require.Equal(t, 503, call(a, "GET", "/readyz", "", "").Code)
}

// TestOrders guards against orders from operators without the right to give them,
// against reporting an order of unknown outcome as carried out, and against
// invalid input.
func TestOrders(t *testing.T) {
	a, b := newAPI()
	b.set = configstate.NewSet(5, []*pb.Object{
		{Meta: &pb.ObjectMeta{Kind: "Upstream", Name: "e1", Labels: map[string]string{"team": "red"}}, Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{}}},
		{Meta: &pb.ObjectMeta{Kind: "Upstream", Name: "e2"}, Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{}}},
	})
	const load = `{"upstream":"e1","verb":"load_model","argument":"m"}`
	for _, c := range []struct {
		token, body string
		result      node.OrderStatus
		status      int
		code        string
	}{
		{"all-token", load, node.OrderApplied, 200, ""},
		{"red-token", load, node.OrderApplied, 200, ""},
		{"all-token", load, node.OrderNotSent, 503, "not_sent"},
		{"all-token", load, node.OrderRefusedFencing, 409, "conflict"},
		{"all-token", load, node.OrderUnknown, 504, "outcome_unknown"},
		{"all-token", load, 0, 504, "outcome_unknown"},
		{"red-token", `{"upstream":"e2","verb":"load_model"}`, node.OrderApplied, 403, "forbidden"},
		{"wrong", load, node.OrderApplied, 401, "unauthenticated"},
		{"all-token", `{"upstream":"e9","verb":"load_model"}`, node.OrderApplied, 404, "not_found"},
		{"all-token", `{"upstream":"e1"}`, node.OrderApplied, 400, "invalid"},
		{"all-token", `{"upstream":"e1","verb":"a b"}`, node.OrderApplied, 400, "invalid"},
		{"all-token", `[]`, node.OrderApplied, 400, "invalid"},
	} {
		b.orders, b.orderStatus = nil, c.result
		w := call(a, "POST", "/admin/v1/orders", c.token, c.body)
		require.Equal(t, c.status, w.Code, "%+v %s", c, w.Body)
		require.Contains(t, w.Body.String(), c.code)
		sent := c.status == 200 || c.status >= 409
		require.Equal(t, sent, len(b.orders) == 1, "%+v", c)
	}
}
