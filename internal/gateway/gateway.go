package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/peer"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/internal/version"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// dialTimeout bounds the time to open a connection to an upstream.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 8
	// maxBodyBytes and maxHeaderBytes bound requests until a configuration
	// names its own limits, which may only be lower.
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 64 << 10
	// maxInternalBytes bounds requests to the ready, discovery and
	// administration addresses.
	maxInternalBytes = 64 << 10
	// readTimeout is the time to send a whole request.
	readTimeout = 10 * time.Second
	// idleTimeout closes caller connections without a request.
	idleTimeout = 60 * time.Second
	// minStopMargin is left between the end of a planned stop and the time at
	// which the platform ends the process.
	minStopMargin = 300 * time.Millisecond
	// acceptShare is the part of the time for a planned stop during which
	// callers with an old discovery answer are still served, and longShare that
	// for requests that might outlast the stop.
	acceptShare = 0.55
	longShare   = 0.35
	// retryExtraShare is the part of the fixed allowance for repeated sends that
	// is used, since instances that start anew have their part again.
	retryExtraShare = 0.6
	// connectionShare is the part of the descriptors for callers' connections.
	connectionShare = 0.7
	// heapShare is the part of the machine's memory from which the garbage
	// collector works harder.
	heapShare = 0.7
	// bodyShare is the part of the machine's memory for request bodies.
	bodyShare  = 0.25
	bytesPerMB = 1 << 20
)

// Gateway is one running instance.
type Gateway struct {
	settings *pb.Settings
	identity nodeloop.Identity
	log      *eventlog.Logger
	metrics  *telemetry.Metrics
	store    Store
	codec    Codec

	loop      *nodeloop.Loop
	mailboxes *nodeloop.Mailboxes
	peers     *peer.Edge
	upstreams *forward.Client
	servers   []*httpfront.Server

	config configState
	// bounds are those of the settings, read once for the path of requests.
	bounds  ingress.Bounds
	members atomic.Pointer[membersView]
	lines   instanceLines

	nextID  atomic.Uint64
	held    atomic.Int64
	leaving atomic.Bool
	// closing is true once connections are closed whatever they carry.
	closing atomic.Bool
	// stopStarted is the boot time at which a planned stop started.
	stopStarted atomic.Int64
	// discoveryTTL is how long callers may keep a discovery answer.
	discoveryTTL atomic.Int64

	drained   chan struct{}
	drainOnce sync.Once
	ctx       context.Context
	stop      context.CancelFunc
	wait      sync.WaitGroup
}

// New returns a gateway that has opened no connection yet.
func New(s *pb.Settings, log zerolog.Logger, store Store, codec Codec) (*Gateway, error) {
	id, err := nodeloop.NewIdentity()
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		settings: s, identity: id, metrics: metrics, store: store, codec: codec,
		log: eventlog.New(log, s.GetInstance().GetName(), id.String(),
			func(message string) { metrics.Count("log_lines_dropped", message) }),
		mailboxes: nodeloop.NewMailboxes(),
		drained:   make(chan struct{}),
		bounds:    boundsOf(s.GetGateway()),
		ctx:       ctx, stop: stop,
	}
	g.discoveryTTL.Store(int64(settings.Duration(s.GetGateway().GetDiscoveryTtl())))
	g.config.state = ingress.NewState()
	g.members.Store(&membersView{notReady: "this instance is starting"})
	g.upstreams = forward.NewClient(forward.Options{DialTimeout: dialTimeout, MaxIdle: maxIdle, ReadHead: codec.ReadAnswer})
	if err := g.observeAges(); err != nil {
		stop()
		return nil, err
	}
	g.loop = nodeloop.New(node.New(g.nodeConfig(), id.Seed), g.execute)
	return g, nil
}

// Log returns the log of this instance.
func (g *Gateway) Log() *eventlog.Logger { return g.log }

// nodeConfig builds the node's configuration from the settings.
func (g *Gateway) nodeConfig() node.Config {
	s := g.settings
	return node.Config{
		Name:               s.GetInstance().GetName(),
		Incarnation:        g.identity.Incarnation,
		PeerAddress:        s.GetListen().GetPeer(),
		CallerAddress:      s.GetListen().GetCaller(),
		AdminAddress:       s.GetListen().GetAdmin(),
		FailureDomain:      s.GetInstance().GetFailureDomain(),
		Region:             s.GetInstance().GetRegion(),
		Cell:               s.GetInstance().GetCell(),
		ExternalConfig:     true,
		PingInterval:       settings.Duration(s.GetPeer().GetPingInterval()),
		DeadAfter:          settings.Duration(s.GetPeer().GetDeadAfter()),
		ListInterval:       settings.Duration(s.GetPlatform().GetListInterval()),
		OwnerTimeout:       settings.Duration(s.GetScheduler().GetOwnerTimeout()),
		DiscoveryTTL:       time.Duration(float64(g.grace()) * acceptShare),
		TargetTTFT:         settings.Duration(s.GetScheduler().GetTargetTtft()),
		TargetInterToken:   settings.Duration(s.GetScheduler().GetTargetInterToken()),
		MaxQueue:           int(s.GetScheduler().GetMaxQueue()),
		MaxRequests:        int(s.GetLimits().GetMaxRequests()),
		MaxDeadline:        settings.Duration(s.GetLimits().GetMaxDeadline()),
		RetryBudgetPercent: int(s.GetLimits().GetRetryBudgetPercent()),
		Sends: dispatch.SendBudget{
			Ratio: s.GetGateway().GetRetryRatio(), Extra: retryExtraShare * s.GetGateway().GetRetryExtra(),
			Window: settings.Duration(s.GetGateway().GetRetryWindow()),
		},
		TicketSecret:  g.identity.TicketSecret,
		RefreshWithin: refreshWithin(s.GetGateway()),
	}
}

func (g *Gateway) grace() time.Duration { return settings.Duration(g.settings.GetGateway().GetGrace()) }

// Start opens the listeners and starts the loop.
func (g *Gateway) Start() error {
	if err := g.listen(); err != nil {
		g.Close()
		return err
	}
	for _, s := range g.servers {
		if err := s.Listen(); err != nil {
			g.Close()
			return fmt.Errorf("cannot listen on %s: %w; correct [listen]", s.Address(), err)
		}
	}
	g.goRun(func() { g.loop.Run(g.ctx) })
	g.goRun(g.announceUntilDone)
	g.goRun(g.refreshMembers)
	for _, s := range g.servers {
		if err := s.Start(); err != nil {
			g.Close()
			return fmt.Errorf("cannot listen on %s: %w; correct [listen]", s.Address(), err)
		}
	}
	listen := g.settings.GetListen()
	g.log.Write(eventlog.InstanceStarted{Version: version.Version, Caller: listen.GetCaller(), Ready: listen.GetReady(),
		Discovery: listen.GetDiscovery(), Peer: listen.GetPeer(), Admin: listen.GetAdmin()})
	return nil
}

// listen builds the servers and opens the peer socket.
func (g *Gateway) listen() error {
	s := g.settings
	var err error
	g.peers, err = peer.New(peer.Config{
		Address: s.GetListen().GetPeer(), Certificate: s.GetPeer().GetCertificate(), Key: s.GetPeer().GetKey(),
		Authority: s.GetPeer().GetAuthority(), TrustNetwork: s.GetPeer().GetTrust() == settings.TrustNetwork, Log: g.log.Logger(),
		Receive: func(f *pb.Frame) { g.loop.Post(node.FrameReceived{Frame: f}) },
	})
	if err != nil {
		return fmt.Errorf("cannot listen on [listen] peer %s: %w", s.GetListen().GetPeer(), err)
	}
	memory := s.GetGateway().GetMemoryMb() * bytesPerMB
	debug.SetMemoryLimit(int64(memory * heapShare))
	config := httpfront.ServerConfig{
		Address: s.GetListen().GetCaller(), MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes,
		MaxBufferedBytes: int64(memory * bodyShare),
		MaxConnections:   g.maxConnections(), ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Handler: callers{g}, BadInput: g.badInput, Log: g.log.Logger(),
	}
	if err := g.addServer(config); err != nil {
		return err
	}
	config.MaxBodyBytes, config.MaxBufferedBytes = maxInternalBytes, maxInternalBytes*16
	config.Handler = internalCalls{g}
	for _, address := range distinct(s.GetListen().GetReady(), s.GetListen().GetDiscovery(), s.GetListen().GetAdmin()) {
		config.Address = address
		if err := g.addServer(config); err != nil {
			return err
		}
	}
	return nil
}

// maxConnections bounds the callers' connections, so that descriptors are left
// for upstreams.
func (g *Gateway) maxConnections() int {
	gateway := g.settings.GetGateway()
	available := gateway.GetMaxFiles() - gateway.GetReservedFiles()
	return max(1, min(int(g.settings.GetLimits().GetMaxConnections()), int(available*connectionShare)))
}

func (g *Gateway) addServer(config httpfront.ServerConfig) error {
	s, err := httpfront.NewServer(config)
	if err == nil {
		g.servers = append(g.servers, s)
	}
	return err
}

// distinct returns the addresses that are set, each once.
func distinct(addresses ...string) []string {
	seen := map[string]bool{"": true}
	var out []string
	for _, a := range addresses {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

// goRun runs f in the background until the gateway stops.
func (g *Gateway) goRun(f func()) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		f()
	}()
}

// execute carries out one action of the node on the loop's goroutine.
func (g *Gateway) execute(action node.Action) {
	switch a := action.(type) {
	case node.Dispatch:
		if !g.mailboxes.Deliver(a.ID, a) {
			g.loop.PostLocal(node.DispatchFailed{ID: a.ID})
		}
	case node.Refuse:
		g.mailboxes.Deliver(a.ID, a)
	case node.CancelUpstream:
		g.mailboxes.Deliver(a.ID, a)
	case node.SendFrame:
		g.peers.Send(a.Address, a.Frame)
	case node.ListInstances:
		g.goRun(g.listInstances)
	case node.ReadStore:
		g.goRun(func() { g.readStore(a.Part) })
	case node.CopyConfirmed:
		g.goRun(func() { g.copyConfirmed(a) })
	case node.Count:
		g.metrics.Count(a.Name, a.Reason)
	case node.ConfigInForce:
		g.log.Write(eventlog.TableInForce{Revision: a.Revision})
	case node.Drained:
		close(g.drained)
	}
}

// Reload puts changed settings in force. Those that concern addresses or the
// node need a restart.
func (g *Gateway) Reload(next *pb.Settings) {
	g.log.Write(eventlog.SettingsRead{})
	g.discoveryTTL.Store(int64(settings.Duration(next.GetGateway().GetDiscoveryTtl())))
}

// Drain starts a planned stop. It returns at once.
func (g *Gateway) Drain() {
	g.drainOnce.Do(func() {
		g.stopStarted.Store(int64(boottime.Now()))
		g.leaving.Store(true)
		g.log.Write(eventlog.StopStarted{GraceMs: eventlog.Milliseconds(g.grace())})
		g.loop.Post(node.Drain{})
		g.goRun(func() { g.announce(g.ctx) })
	})
}

// Finish waits for the end of a planned stop: until no work is left, or until
// the time for it is over.
func (g *Gateway) Finish(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, g.grace()-minStopMargin)
	defer cancel()
	select {
	case <-g.drained:
	case <-limit.Done():
		return
	}
	nodeloop.WaitWhile(limit, func() bool { return g.held.Load() > 0 || g.servers[0].Busy() })
}

// Close stops at once and releases everything.
func (g *Gateway) Close() {
	g.closing.Store(true)
	g.stop()
	for _, s := range g.servers {
		s.Stop()
	}
	if g.peers != nil {
		g.peers.Close()
	}
	g.upstreams.Close()
	g.wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	g.metrics.Close(ctx)
}

// badInput counts input that never became a request.
func (g *Gateway) badInput(problem httpfront.InputError) []byte {
	g.metrics.Count("refusals", problem.Code)
	return httpfront.BadInputBody(problem)
}

var _ http.Handler = callers{}
