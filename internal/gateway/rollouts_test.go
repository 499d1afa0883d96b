package gateway

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// orderStore is a Store that records its calls.
type orderStore struct {
	Store
	calls    []string
	orders   ingress.Orders
	fault    error
	orderErr error
	commands map[string]ingress.RolloutCommand
	written  rollout.Order
}

func (s *orderStore) Upstreams(context.Context) ([]ingress.Upstream, []error, error) {
	s.calls = append(s.calls, "upstreams")
	list := []ingress.Upstream{{ID: "u-1", Incarnation: "1", Service: "s", Version: "1"}, {ID: "u-2", Incarnation: "1", Service: "s", Version: "2"}}
	return list, nil, nil
}

func (s *orderStore) Rollouts(context.Context) (ingress.Orders, []error, error) {
	s.calls = append(s.calls, "orders")
	return s.orders, []error{s.fault}, s.orderErr
}

func (s *orderStore) RolloutCommands(_ context.Context, mayBeOld bool) (map[string]ingress.RolloutCommand, []error, error) {
	s.calls = append(s.calls, map[bool]string{true: "old commands", false: "commands"}[mayBeOld])
	if s.commands == nil {
		return nil, nil, errors.New("away")
	}
	return s.commands, nil, nil
}

func (s *orderStore) WriteRollout(_ context.Context, order rollout.Order, _ rollout.Record) (rollout.WriteResult, error) {
	s.written = order
	return rollout.WriteResult{Outcome: rollout.Acknowledged}, nil
}

func newRolloutGateway(t *testing.T, share float64) (*Gateway, *orderStore, *bytes.Buffer) {
	store, out := &orderStore{fault: errors.New("no version")}, &bytes.Buffer{}
	g, err := New(&pb.Settings{Gateway: &pb.GatewaySettings{RolloutExposeShare: share, RolloutExposeSlack: 50, RolloutRollback: "5s"}}, zerolog.New(out), store, plainCodec{})
	require.NoError(t, err)
	t.Cleanup(g.stop)
	return g, store, out
}

func judging(id uint64) ingress.Rollout {
	return ingress.Rollout{Order: rollout.Order{Service: "s", Version: "2", ID: id, Within: 10 * time.Second}, Record: rollout.Record{Order: id, Phase: rollout.Judging}}
}

// TestListingWithOrders guards against upstreams that are used without the order that was
// listed after them, against reads of orders where rollouts are off, and against an operator's
// command that is forgotten because a read of the commands failed.
func TestListingWithOrders(t *testing.T) {
	g, store, _ := newRolloutGateway(t, 0)
	_, err := g.readListing(g.ctx)
	require.NoError(t, err)
	require.Equal(t, []string{"upstreams"}, store.calls)
	require.False(t, g.nodeConfig().Rollouts.Enabled())

	g, store, out := newRolloutGateway(t, 0.1)
	require.Equal(t, rollout.Bounds{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}, g.nodeConfig().Rollouts)
	store.orders = ingress.Orders{Refused: []ingress.RefusedOrder{{Service: "r", Reason: "no version"}, {Service: "q", Reason: "no time"}}}
	_, err = g.readListing(g.ctx)
	require.NoError(t, err)
	require.Equal(t, []string{"upstreams", "orders"}, store.calls)
	require.Contains(t, out.String(), `"service":"r","error":"no version"`)
	require.Contains(t, out.String(), `"service":"q","error":"no time"`)
	store.orders = ingress.Orders{Rollouts: []ingress.Rollout{judging(7)}}
	store.commands = map[string]ingress.RolloutCommand{"s": {Order: 7, Command: rollout.Hold}}
	for range 2 {
		store.calls = nil
		listing, err := g.readListing(g.ctx)
		require.NoError(t, err)
		require.Equal(t, []string{"upstreams", "orders", "old commands"}, store.calls)
		require.Equal(t, rollout.Hold, listing.Orders.Rollouts[0].Command)
		store.commands = nil
		store.orders.Rollouts[0].Command = 0
	}
	store.orderErr = errors.New("away")
	listing, err := g.readListing(g.ctx)
	require.Error(t, err)
	_, ok := g.observeListing(time.Second, listing, err)
	require.False(t, ok)
	require.Nil(t, g.config.rollouts.Load())
}

// TestOrderInForce guards against a record that is written for another version or after its
// order was withdrawn, against a version that this instance goes on using after its order has
// ended, and against an order past its deadline that no gauge shows.
func TestOrderInForce(t *testing.T) {
	g, store, out := newRolloutGateway(t, 0.1)
	g.config.state.ObserveConfig(0, &ingress.Config{Version: 1, Services: []ingress.Service{{Name: "s"}}})
	store.orders = ingress.Orders{Rollouts: []ingress.Rollout{judging(7)}}
	observe := func(at time.Duration) {
		listing, err := g.readListing(g.ctx)
		_, ok := g.observeListing(at, listing, err)
		require.True(t, ok)
	}
	observe(time.Second)
	g.writeRollout("s", rollout.Record{Order: 7})
	require.Equal(t, "2", store.written.Version)
	seen := (*g.config.rollouts.Load())[0].Since
	require.Zero(t, longestOverdue(seen+9*time.Second, g.config.rollouts.Load()))
	require.Equal(t, time.Second, longestOverdue(seen+11*time.Second, g.config.rollouts.Load()))
	require.Len(t, g.config.state.Upstreams(), 2)
	out.Reset()
	change := node.RolloutChanged{Service: "s", Order: 7, Phase: rollout.Reverted}
	g.logRollout(change)
	require.Contains(t, out.String(), `"version":"2","order":"7","phase":"reverted"`)
	g.endRollout(change)
	require.Len(t, g.config.state.Upstreams(), 1)
	require.Zero(t, longestOverdue(seen+11*time.Second, g.config.rollouts.Load()))
	store.orders, store.written = ingress.Orders{}, rollout.Order{}
	observe(2 * time.Second)
	out.Reset()
	g.writeRollout("s", rollout.Record{Order: 7})
	require.Zero(t, store.written)
	require.Contains(t, out.String(), "no longer in the store")
}
