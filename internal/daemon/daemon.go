// Package daemon runs one entry instance, the kind of instance that receives
// requests from callers. It executes the node's actions through the adapters for
// callers, operators, peers, upstreams and the platform, and posts what these
// adapters observe to the node as events. All scheduling decisions are made by
// the node.
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
	// discoveryTTL is how long callers may cache a discovery answer.
	discoveryTTL = 5 * time.Second
	// queryTimeout bounds how long an HTTP request waits for a query of the node's state.
	queryTimeout = 2 * time.Second
	// maxConcurrentStoreCalls bounds calls to the object API in progress. The
	// node's call budget keeps the number far below it unless the platform hangs.
	maxConcurrentStoreCalls = 64
	// maxBufferedOperatorBodies is the number of operators' request bodies of the
	// maximum size that may be buffered at once.
	maxBufferedOperatorBodies = 4
	// maxConcurrentOrders bounds the orders that are being sent to upstreams.
	maxConcurrentOrders = 64
	// flushTimeout bounds the wait for callers to read the rest of their answers
	// at the end of a planned stop.
	flushTimeout = 30 * time.Second
	// closeTimeout bounds the last export of metrics when the daemon closes.
	closeTimeout = time.Second
)

// Daemon is one running entry instance: the node, its loop and its adapters.
type Daemon struct {
	settings       *pb.Settings
	identity       nodeloop.Identity
	log            *eventlog.Logger
	metrics        *telemetry.Metrics
	loop           *nodeloop.Loop
	callerHandler  *httpfront.Handler
	callerServer   *httpfront.Server
	admin          *adminapi.API
	adminServer    *httpfront.Server
	peers          *peer.Endpoint
	upstream       *upstream.Client
	platform       *platform.Client
	requests       *nodeloop.Mailboxes
	pendingChanges *pending[node.ChangeDone]
	pendingOrders  *pending[node.OrderResult]
	requestGauges  *kindGauges
	latestReports  *engineReports
	maxDeadline    time.Duration
	maxRequests    int64

	nextID       atomic.Uint64
	heldRequests atomic.Int64
	leaving      atomic.Bool
	// config is the configuration in force, nil until there is one.
	config atomic.Pointer[configstate.Set]
	// notReady is the reason why the instance should receive no requests; empty if it is ready.
	notReady    atomic.Pointer[string]
	storeStatus storeStatus

	configsToCompile chan *configstate.Set
	storeCallSlots   chan struct{}
	orderSlots       chan struct{}
	listingInstances atomic.Bool
	// draining is closed at the start of a planned stop, drained when the node
	// has no work left.
	draining  chan struct{}
	drained   chan struct{}
	drainOnce sync.Once

	// ctx ends when the daemon stops; background counts the goroutines to wait for.
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
}

// New returns a daemon that has not opened listeners or connections.
// makeMachine builds the node from the daemon's configuration.
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
		upstream:         upstream.NewClient(upstream.Options{Connections: int(limits.GetUpstreamConnections()), MaxAnswerBytes: limits.GetMaxBodyBytes()}),
		platform:         platform.NewClient(s.GetPlatform().GetAddress(), settings.Duration(s.GetPlatform().GetCallTimeout())),
		requests:         nodeloop.NewMailboxes(),
		pendingChanges:   newPending[node.ChangeDone](),
		pendingOrders:    newPending[node.OrderResult](),
		requestGauges:    newKindGauges(),
		latestReports:    newEngineReports(),
		maxDeadline:      settings.Duration(limits.GetMaxDeadline()),
		maxRequests:      limits.GetMaxRequests(),
		configsToCompile: make(chan *configstate.Set, 1),
		storeCallSlots:   make(chan struct{}, maxConcurrentStoreCalls),
		orderSlots:       make(chan struct{}, maxConcurrentOrders),
		draining:         make(chan struct{}),
		drained:          make(chan struct{}),
		ctx:              ctx, stop: stop,
	}
	notReadyReason := "this instance is starting"
	d.notReady.Store(&notReadyReason)
	started := time.Now()
	d.loop = nodeloop.New(makeMachine(d.nodeConfig(started), id.Seed), d.execute)
	d.callerHandler = httpfront.NewHandler(d, d.maxDeadline, d.log)
	d.admin = adminapi.New(adminBackend{d}, metrics.Handler(), d.log.Logger())
	d.admin.SetOperators(adminapi.NewOperators(nil, s.GetBootstrap().GetOperatorTokenSha256()))
	return d, nil
}

// nodeConfig builds the node's configuration from the settings.
func (d *Daemon) nodeConfig(started time.Time) node.Config {
	s := d.settings
	retries := int(s.GetLimits().GetRetryBudgetPercent())
	if retries == 0 {
		retries = -1 // the node replaces 0 by its default
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

// Start opens the listeners and starts the loop and the background tasks.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.Close()
		return err
	}
	if err := d.bindAddresses(); err != nil {
		d.Close()
		return err
	}
	d.runInBackground(func() { d.loop.Run(d.ctx) })
	d.runInBackground(d.compileConfigs)
	d.runInBackground(d.keepRegistered)
	d.runInBackground(d.refreshStatus)
	d.runInBackground(d.pollUpstreams)
	if err := d.callerServer.Start(); err != nil {
		d.Close()
		return fmt.Errorf("cannot listen on [listen] caller %s: %w", d.settings.GetListen().GetCaller(), err)
	}
	if err := d.adminServer.Start(); err != nil {
		d.Close()
		return fmt.Errorf("cannot listen on [listen] admin %s: %w", d.settings.GetListen().GetAdmin(), err)
	}
	listen := d.settings.GetListen()
	d.log.Write(eventlog.InstanceStarted{Version: version.Version, Caller: listen.GetCaller(), Peer: listen.GetPeer(), Admin: listen.GetAdmin()})
	return nil
}

// bindAddresses binds the caller and administration addresses before the loop
// and the background tasks start, so that nothing runs if one of them is in use.
func (d *Daemon) bindAddresses() error {
	if err := d.callerServer.Listen(); err != nil {
		return fmt.Errorf("cannot listen on [listen] caller %s: %w", d.settings.GetListen().GetCaller(), err)
	}
	if err := d.adminServer.Listen(); err != nil {
		return fmt.Errorf("cannot listen on [listen] admin %s: %w", d.settings.GetListen().GetAdmin(), err)
	}
	return nil
}

// listen opens the peer socket and creates the caller and
// administration servers without binding their addresses.
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
		Handler: d.callerHandler, InputErrorBody: httpfront.RefusedInput{Count: d.metrics.Count, Log: d.log}.Body, Log: d.log.Logger(),
	}
	if d.callerServer, err = httpfront.NewServer(config); err != nil {
		return err
	}
	config.Address, config.MaxBodyBytes = s.GetListen().GetAdmin(), adminapi.MaxBodyBytes
	config.MaxBufferedBytes = maxBufferedOperatorBodies * adminapi.MaxBodyBytes
	config.TLSCertificate, config.TLSKey = "", ""
	config.Handler = d.admin
	d.adminServer, err = httpfront.NewServer(config)
	return err
}

// runInBackground runs f on a goroutine that Close waits for.
func (d *Daemon) runInBackground(f func()) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f()
	}()
}

// Drain starts a planned stop and returns at once; Finish waits for its end.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.log.Write(eventlog.StopStarted{})
		d.leaving.Store(true)
		close(d.draining)
		d.runInBackground(func() {
			d.register()
			d.loop.Post(node.Drain{})
		})
	})
}

// Draining returns a channel that is closed when a planned stop has started, by
// Drain or by an operator.
func (d *Daemon) Draining() <-chan struct{} { return d.draining }

// Finish waits for the end of a planned stop: until the node has no work left
// and all answers have been written to the kernel's socket buffers, the latter
// for at most flushTimeout. It returns early if ctx ends.
func (d *Daemon) Finish(ctx context.Context) {
	select {
	case <-d.drained:
	case <-ctx.Done():
		return
	}
	d.callerHandler.CloseConnections()
	ctx, stop := context.WithTimeout(ctx, flushTimeout)
	defer stop()
	nodeloop.WaitWhile(ctx, func() bool { return d.heldRequests.Load() > 0 || d.callerServer.Busy() })
	d.callerServer.Drain(ctx)
}

// Close stops the daemon at once and releases its resources. The administration
// address is closed last: once an operator finds it closed, everything else is
// closed too.
func (d *Daemon) Close() {
	d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.callerServer != nil {
		d.callerServer.Stop()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	d.background.Wait()
	d.upstream.Close()
	d.platform.Close()
	d.metrics.Close(ctx)
	if d.adminServer != nil {
		d.adminServer.Stop()
	}
}

// seeds returns the configured peer addresses to join through, without this
// instance's own.
func seeds(s *pb.Settings) []string {
	var out []string
	for _, address := range splitCommaList(s.GetPeer().GetSeeds()) {
		if address != s.GetListen().GetPeer() {
			out = append(out, address)
		}
	}
	return out
}

// cellFailureDomains returns the failure domains whose upstreams a cell (the
// instances that share upstreams) uses, or nil for all. A cell with the
// name of its failure domain uses the upstreams of that domain only: if several
// cells used the same upstreams, each cell would grant the full limit of each
// upstream.
func cellFailureDomains(instance *pb.InstanceSettings) []string {
	if instance.GetCell() != "" && instance.GetCell() == instance.GetFailureDomain() {
		return []string{instance.GetCell()}
	}
	return nil
}
