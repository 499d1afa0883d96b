package gateway

import (
	"context"
	"errors"
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
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// dialTimeout bounds the time to open a connection to an upstream.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one upstream.
	maxIdleConnections = 8
	// maxBodyBytes and maxHeaderBytes bound requests until a configuration sets
	// limits of its own, which may only be lower.
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 64 << 10
	// maxInternalBytes bounds requests to the ready, discovery and
	// administration addresses.
	maxInternalBytes = 64 << 10
	// readTimeout bounds the time that a caller takes to send a complete request.
	readTimeout = 10 * time.Second
	// idleTimeout closes caller connections without a request.
	idleTimeout = 60 * time.Second
	// retryExtraFraction is the fraction of the fixed allowance for repeated sends
	// that is used, since restarted instances get their share of it again.
	retryExtraFraction = 0.6
	// connectionFraction is the fraction of the available file descriptors for
	// callers' connections.
	connectionFraction = 0.7
	// heapFraction is the fraction of the machine's memory set as Go's soft memory
	// limit, near which the garbage collector runs more often.
	heapFraction = 0.7
	// heapGrowthPercent is how much the heap grows before the garbage collector runs,
	// as a percentage of the live heap. The live heap is small, so that more runs cost
	// little.
	heapGrowthPercent = 50
	// bodyFraction is the fraction of the machine's memory for request bodies.
	bodyFraction = 0.25
	bytesPerMB   = 1 << 20
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
	peers     *peer.Endpoint
	upstreams *forward.Client
	servers   []*httpfront.Server
	// answers holds what callers have not read of answers; nil if it is turned off.
	answers *httpfront.AnswerBuffer

	config configState
	// bounds are the bounds from the settings, read once so that requests need not
	// parse them.
	bounds  ingress.Bounds
	members atomic.Pointer[membersView]
	known   knownUpstreams
	// instanceFaultsLoggedAt, partFaultsLoggedAt, orderFaultsLoggedAt and
	// commandFaultsLoggedAt are the boot times at which invalid entries of instances, records
	// of parts, orders and commands on orders were last logged.
	instanceFaultsLoggedAt, partFaultsLoggedAt, orderFaultsLoggedAt, commandFaultsLoggedAt atomic.Int64

	// rollouts are the bounds from the settings; orders are not read if they are zero.
	rollouts rollout.Bounds
	// commands are the operators' commands read last, by service, and refusedOrders the
	// services whose order could not be read last.
	commands      atomic.Pointer[map[string]ingress.RolloutCommand]
	refusedOrders atomic.Pointer[map[string]bool]
	// orders decides which listings read the orders, and holds those read last.
	orders orderReads

	nextID   atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	// closing is true once connections are closed even with a request in flight.
	closing atomic.Bool
	// stopStarted is the boot time at which a planned stop started.
	stopStarted atomic.Int64
	planned     plannedStop
	// discoveryTTL is how long callers may cache a discovery answer.
	discoveryTTL atomic.Int64

	drained   chan struct{}
	drainOnce sync.Once
	ctx       context.Context
	stop      context.CancelFunc
	wait      sync.WaitGroup
}

// New returns a gateway without listeners and connections; Start opens them.
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
		planned:   newPlannedStop(),
		bounds:    boundsOf(s.GetGateway()),
		rollouts:  rolloutBounds(s.GetGateway()),
		ctx:       ctx, stop: stop,
	}
	g.discoveryTTL.Store(int64(settings.Duration(s.GetGateway().GetDiscoveryTtl())))
	g.config.state = ingress.NewState()
	g.config.configReadAt = boottime.Now()
	g.members.Store(&membersView{notReady: "this instance is starting"})
	limits := s.GetGateway()
	g.upstreams = forward.NewClient(forward.Options{
		DialTimeout: dialTimeout, MaxIdle: maxIdleConnections, ReadHead: codec.ReadAnswerHead,
		MaxHeadBytes: int(limits.GetMaxAnswerHeaderBytes()), MaxEventBytes: int(limits.GetMaxEventBytes()),
		MaxBodyBytes: int64(limits.GetMaxAnswerBytes()), MaxRequestBytes: int64(limits.GetUpstreamRequestMb() * bytesPerMB),
		RequestWaits: g.logRequestHeldBack,
	})
	if limit := settings.AnswerBufferMB(limits) * bytesPerMB; limit > 0 {
		g.answers = httpfront.NewAnswerBuffer(int64(limit))
	}
	if err := errors.Join(g.registerAgeMetrics(), g.registerByteMetrics(), g.registerRolloutMetrics()); err != nil {
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
		DiscoveryTTL:       time.Duration(float64(g.grace()) * acceptFraction),
		TargetTTFT:         settings.Duration(s.GetScheduler().GetTargetTtft()),
		TargetInterToken:   settings.Duration(s.GetScheduler().GetTargetInterToken()),
		MaxQueue:           int(s.GetScheduler().GetMaxQueue()),
		MaxRequests:        int(s.GetLimits().GetMaxRequests()),
		MaxDeadline:        settings.Duration(s.GetLimits().GetMaxDeadline()),
		RetryBudgetPercent: int(s.GetLimits().GetRetryBudgetPercent()),
		RepeatedSends: dispatch.SendBudget{
			Ratio: s.GetGateway().GetRetryRatio(), Extra: retryExtraFraction * s.GetGateway().GetRetryExtra(),
			Window: settings.Duration(s.GetGateway().GetRetryWindow()),
		},
		TicketSecret:  g.identity.TicketSecret,
		RefreshWithin: refreshWithin(s.GetGateway()),
		PartBlocks: poison.Config{Ends: int(s.GetGateway().GetPartBlockEnds()),
			Trial: settings.Duration(s.GetGateway().GetPartBlockTrial())},
		Rollouts: g.rollouts,
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
	debug.SetMemoryLimit(int64(memory * heapFraction))
	debug.SetGCPercent(heapGrowthPercent)
	config := httpfront.ServerConfig{
		Address: s.GetListen().GetCaller(), MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes,
		MaxBufferedBytes: int64(memory * bodyFraction),
		MaxConnections:   g.maxConnections(), ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Handler: callers{g}, InputErrorBody: httpfront.RefusedInput{Count: g.metrics.Count, Log: g.log}.Body, Log: g.log.Logger(),
		AnswerBuffer: g.answers,
	}
	if err := g.addServer(config); err != nil {
		return err
	}
	config.MaxBodyBytes, config.MaxBufferedBytes = maxInternalBytes, maxInternalBytes*16
	config.Handler, config.AnswerBuffer = internalCalls{g}, nil
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
	return max(1, min(int(g.settings.GetLimits().GetMaxConnections()), int(available*connectionFraction)))
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
	case node.PartChanged:
		g.logPart(a)
	case node.WritePartRecord:
		g.goRun(func() { g.writePartRecord(a.Record) })
	case node.DeletePartRecord:
		g.goRun(func() { g.deletePartRecord(a.Key) })
	case node.ReadPartRecords:
		g.goRun(func() { g.readPartRecords(a.Current) })
	case node.WriteRollout:
		g.goRun(func() { g.writeRollout(a.Service, a.Record) })
	case node.RolloutChanged:
		g.logRollout(a)
		g.goRun(func() { g.endRollout(a) })
	case node.Count:
		g.metrics.Count(a.Name, a.Reason)
	case node.ConfigInForce:
		g.log.Write(eventlog.TableInForce{Revision: a.Revision})
	case node.ConfigUnusable:
		g.log.Write(eventlog.InternalFault{What: "putting a configuration in force", Error: a.Err.Error()})
	case node.Drained:
		close(g.drained)
	}
}

// Reload applies changed settings. Those that concern addresses or the node need
// a restart.
func (g *Gateway) Reload(next *pb.Settings) {
	g.log.Write(eventlog.SettingsReloaded{})
	g.discoveryTTL.Store(int64(settings.Duration(next.GetGateway().GetDiscoveryTtl())))
}

// Close stops immediately, closes all connections and waits for background work.
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

var _ http.Handler = callers{}
