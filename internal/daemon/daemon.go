// Package daemon runs one entry instance: it carries out the node's actions
// through the edges and turns what the edges see into events. It decides nothing
// itself.
package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/adminapi"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/peer"
	"github.com/citrongate/citrongate/internal/platform"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/internal/version"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// discoveryTTL is how long callers may use an old discovery answer.
	discoveryTTL = 5 * time.Second
	// queryTimeout bounds the wait of a request for the loop.
	queryTimeout = 2 * time.Second
	// maxStoreCalls bounds calls to the object API in progress; the node's
	// budget keeps them far below it unless the platform hangs.
	maxStoreCalls = 64
	// maxOperatorBodies bounds the operators' request bodies held at once.
	maxOperatorBodies = 4
	// maxOrders bounds orders in progress.
	maxOrders = 64
	// flushTimeout bounds the wait for callers to take the rest of their answers at the end.
	flushTimeout = 30 * time.Second
	// closeTimeout bounds the last export of metrics.
	closeTimeout = time.Second
)

// Daemon is one running instance.
type Daemon struct {
	settings     *pb.Settings
	identity     nodeloop.Identity
	log          *eventlog.Logger
	metrics      *telemetry.Metrics
	loop         *nodeloop.Loop
	front        *httpfront.Handler
	callers      *httpfront.Server
	admin        *adminapi.API
	operators    *httpfront.Server
	peers        *peer.Edge
	upstream     *upstream.Client
	platform     *platform.Client
	requests     *nodeloop.Mailboxes
	changes      *pending[node.ChangeDone]
	orderAnswers *pending[node.OrderResult]
	kinds        *kindGauges
	loads        *loadReports
	maxDeadline  time.Duration
	maxRequests  int64

	nextID  atomic.Uint64
	held    atomic.Int64
	leaving atomic.Bool
	// config is the configuration in force, or nil.
	config atomic.Pointer[configstate.Set]
	// ready is the reason why callers should not be sent here; empty if ready.
	notReady  atomic.Pointer[string]
	storeDown atomic.Bool

	compile    chan *configstate.Set
	storeCalls chan struct{}
	orders     chan struct{}
	listing    atomic.Bool
	// draining is closed at the start of a planned stop, drained when no work is left.
	draining  chan struct{}
	drained   chan struct{}
	drainOnce sync.Once

	// ctx ends when the daemon stops; background work is counted in wait.
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
}

// New returns a daemon that has opened no connection yet. makeMachine builds
// the node from the daemon's configuration.
func New(s *pb.Settings, log zerolog.Logger, makeMachine func(cfg node.Config, seed uint64) nodeloop.Machine) (*Daemon, error) {
	if err := checkBootstrap(s); err != nil {
		return nil, err
	}
	id, err := nodeloop.NewIdentity()
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	limits := s.GetLimits()
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, identity: id, metrics: metrics,
		log: eventlog.New(log, s.GetInstance().GetName(), id.String(),
			func(message string) { metrics.Count("log_lines_dropped", message) }),
		upstream:     upstream.NewClient(upstream.Options{Connections: int(limits.GetUpstreamConnections()), MaxAnswerBytes: limits.GetMaxBodyBytes()}),
		platform:     platform.NewClient(s.GetPlatform().GetAddress(), settings.Duration(s.GetPlatform().GetCallTimeout())),
		requests:     nodeloop.NewMailboxes(),
		changes:      newPending[node.ChangeDone](),
		orderAnswers: newPending[node.OrderResult](),
		kinds:        newKindGauges(),
		loads:        newLoadReports(),
		maxDeadline:  settings.Duration(limits.GetMaxDeadline()),
		maxRequests:  limits.GetMaxRequests(),
		compile:      make(chan *configstate.Set, 1),
		storeCalls:   make(chan struct{}, maxStoreCalls),
		orders:       make(chan struct{}, maxOrders),
		draining:     make(chan struct{}),
		drained:      make(chan struct{}),
		ctx:          ctx, stop: stop,
	}
	starting := "this instance is starting"
	d.notReady.Store(&starting)
	started := time.Now()
	d.loop = nodeloop.New(makeMachine(d.nodeConfig(started), id.Seed), d.execute)
	d.front = httpfront.NewHandler(d, d.maxDeadline, d.log)
	d.admin = adminapi.New(adminBackend{d}, metrics.Handler(), d.log.Logger())
	d.admin.SetOperators(adminapi.NewOperators(nil, s.GetBootstrap().GetOperatorTokenSha256()))
	return d, nil
}

// nodeConfig builds the node's configuration from the settings.
func (d *Daemon) nodeConfig(started time.Time) node.Config {
	s := d.settings
	retries := int(s.GetLimits().GetRetryBudgetPercent())
	if retries == 0 {
		retries = -1 // the node takes 0 for its default
	}
	return node.Config{
		Name:               s.GetInstance().GetName(),
		Incarnation:        d.identity.Incarnation,
		PeerAddress:        s.GetListen().GetPeer(),
		CallerAddress:      s.GetListen().GetCaller(),
		AdminAddress:       s.GetListen().GetAdmin(),
		FailureDomain:      s.GetInstance().GetFailureDomain(),
		Region:             s.GetInstance().GetRegion(),
		Cell:               s.GetInstance().GetCell(),
		CellFailureDomains: cellFailureDomains(s.GetInstance()),
		Seeds:              seeds(s),
		PingInterval:       settings.Duration(s.GetPeer().GetPingInterval()),
		DeadAfter:          settings.Duration(s.GetPeer().GetDeadAfter()),
		ListInterval:       settings.Duration(s.GetPlatform().GetListInterval()),
		OwnerTimeout:       settings.Duration(s.GetScheduler().GetOwnerTimeout()),
		DiscoveryTTL:       discoveryTTL,
		TargetTTFT:         settings.Duration(s.GetScheduler().GetTargetTtft()),
		TargetInterToken:   settings.Duration(s.GetScheduler().GetTargetInterToken()),
		MaxQueue:           int(s.GetScheduler().GetMaxQueue()),
		MaxRequests:        int(s.GetLimits().GetMaxRequests()),
		MaxDeadline:        d.maxDeadline,
		RetryBudgetPercent: retries,
		TicketTTL:          settings.Duration(s.GetBinding().GetTicketTtl()),
		RecordTTL:          settings.Duration(s.GetBinding().GetRecordTtl()),
		ClaimRetention:     settings.Duration(s.GetBinding().GetClaimRetention()),
		MaxRecords:         int(s.GetBinding().GetMaxRecords()),
		TicketSecret:       d.identity.TicketSecret,
		CallsPerSecond:     s.GetPlatform().GetCallsPerSecond(),
		WallClockOffset:    time.Duration(started.UnixNano()),
	}
}

// Start opens the listeners and starts the loop.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.Close()
		return err
	}
	if err := d.takeAddresses(); err != nil {
		d.Close()
		return err
	}
	d.goRun(func() { d.loop.Run(d.ctx) })
	d.goRun(d.compileConfigs)
	d.goRun(d.keepRegistered)
	d.goRun(d.refreshStatus)
	d.goRun(d.pollUpstreams)
	if err := d.callers.Start(); err != nil {
		d.Close()
		return fmt.Errorf("cannot listen on [listen] caller %s: %w", d.settings.GetListen().GetCaller(), err)
	}
	if err := d.operators.Start(); err != nil {
		d.Close()
		return fmt.Errorf("cannot listen on [listen] admin %s: %w", d.settings.GetListen().GetAdmin(), err)
	}
	listen := d.settings.GetListen()
	d.log.Write(eventlog.InstanceStarted{Version: version.Version, Caller: listen.GetCaller(), Peer: listen.GetPeer(), Admin: listen.GetAdmin()})
	return nil
}

// takeAddresses listens on all addresses before anything starts.
func (d *Daemon) takeAddresses() error {
	if err := d.callers.Listen(); err != nil {
		return fmt.Errorf("cannot listen on [listen] caller %s: %w", d.settings.GetListen().GetCaller(), err)
	}
	if err := d.operators.Listen(); err != nil {
		return fmt.Errorf("cannot listen on [listen] admin %s: %w", d.settings.GetListen().GetAdmin(), err)
	}
	return nil
}

// listen builds the servers and opens the peer socket.
func (d *Daemon) listen() error {
	s, limits := d.settings, d.settings.GetLimits()
	var err error
	d.peers, err = peer.New(peer.Config{
		Address: s.GetListen().GetPeer(), Certificate: s.GetPeer().GetCertificate(), Key: s.GetPeer().GetKey(),
		Authority: s.GetPeer().GetAuthority(), Seeds: seeds(s), Log: d.log.Logger(),
		Receive: func(f *pb.Frame) { d.loop.Post(node.FrameReceived{Frame: f}) },
	})
	if err != nil {
		return fmt.Errorf("cannot listen on [listen] peer %s: %w", s.GetListen().GetPeer(), err)
	}
	config := httpfront.ServerConfig{
		Address: s.GetListen().GetCaller(), TLSCertificate: s.GetListen().GetTlsCertificate(), TLSKey: s.GetListen().GetTlsKey(),
		MaxBodyBytes: int(limits.GetMaxBodyBytes()), MaxHeaderBytes: int(limits.GetMaxHeaderBytes()),
		MaxBufferedBytes: limits.GetMaxBufferedBytes(),
		MaxConnections:   int(limits.GetMaxConnections()), ReadTimeout: settings.Duration(limits.GetReadTimeout()),
		Handler: d.front, BadInput: d.badInput, Log: d.log.Logger(),
	}
	if d.callers, err = httpfront.NewServer(config); err != nil {
		return err
	}
	config.Address, config.MaxBodyBytes = s.GetListen().GetAdmin(), adminapi.MaxBodyBytes
	config.MaxBufferedBytes = maxOperatorBodies * adminapi.MaxBodyBytes
	config.TLSCertificate, config.TLSKey = "", ""
	config.Handler = d.admin
	d.operators, err = httpfront.NewServer(config)
	return err
}

// goRun runs f in the background until the daemon stops.
func (d *Daemon) goRun(f func()) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		f()
	}()
}

// Drain starts a planned stop. It returns at once; Drained says when no work is left.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.log.Write(eventlog.StopStarted{})
		d.leaving.Store(true)
		close(d.draining)
		d.goRun(func() {
			d.register()
			d.loop.Post(node.Drain{})
		})
	})
}

// Draining is closed when a planned stop has started, by Drain or by an operator.
func (d *Daemon) Draining() <-chan struct{} { return d.draining }

// Finish waits for the end of a planned stop: until no work is left and the
// kernel has all answers. It returns early if ctx ends.
func (d *Daemon) Finish(ctx context.Context) {
	select {
	case <-d.drained:
	case <-ctx.Done():
		return
	}
	d.front.CloseConnections()
	ctx, stop := context.WithTimeout(ctx, flushTimeout)
	defer stop()
	nodeloop.WaitWhile(ctx, func() bool { return d.held.Load() > 0 || d.callers.Busy() })
}

// Close stops at once and releases everything. The administration address is
// closed last, so that an operator who sees it closed knows that the rest is.
func (d *Daemon) Close() {
	d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.callers != nil {
		d.callers.Stop()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	d.wait.Wait()
	d.upstream.Close()
	d.platform.Close()
	d.metrics.Close(ctx)
	if d.operators != nil {
		d.operators.Stop()
	}
}

// seeds are the peer addresses to join through, without the own one.
func seeds(s *pb.Settings) []string {
	var out []string
	for _, address := range splitList(s.GetPeer().GetSeeds()) {
		if address != s.GetListen().GetPeer() {
			out = append(out, address)
		}
	}
	return out
}

// cellFailureDomains returns the failure domains whose upstreams a cell uses. A
// cell with the name of its failure domain uses that domain's only: cells that
// use the same upstreams would each grant their full limits.
func cellFailureDomains(instance *pb.InstanceSettings) []string {
	if instance.GetCell() != "" && instance.GetCell() == instance.GetFailureDomain() {
		return []string{instance.GetCell()}
	}
	return nil
}
