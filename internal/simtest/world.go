package simtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	tickInterval = 20 * time.Millisecond
	// upstreamDelay is the one-way network delay between an instance and an upstream.
	upstreamDelay = time.Millisecond
)

// World runs nodes against fake upstreams and a fake platform in virtual time. It
// executes the nodes' actions in place of the protocol adapters, and records what
// callers and upstreams observe.
type World struct {
	Loop      *Loop
	Platform  *Platform
	Instances []*Instance
	Engines   map[string]*Engine
	Services  map[string]*Service
	Trace     *Trace

	// Delay is the one-way network delay between instances; Loss is the probability
	// that a frame is lost.
	Delay time.Duration
	Loss  float64
	// FrameBytes counts the encoded bytes of frames between instances.
	FrameBytes uint64
	// Jitter is the largest random addition to Delay, drawn for each frame. It
	// reorders frames, as happens when small frames overtake large ones.
	Jitter time.Duration
	// UncheckedAnswers is a mutation that a check must detect: the id that an answer
	// carries is not compared with that of the request.
	UncheckedAnswers bool
	// SwapAnswers is the probability that an engine answers with another request's id.
	SwapAnswers float64
	// OnOrder, if set, is called when a process is about to send an order, so that a
	// test can inject a fault at that moment.
	OnOrder func(*Instance)
	// PlatformUnreachable holds the addresses of processes that cannot reach the platform.
	PlatformUnreachable map[string]bool
	// EventsPerReport is the number of events of a stream after which their total is
	// reported to the node; NewWorld sets 8.
	EventsPerReport uint32
	// TokensPerEvent is the number of tokens that engines send in one event. Output
	// lengths of requests are counted in events.
	TokensPerEvent uint32
	// OnFrame, if set, is called for every frame that an instance sends, including
	// lost ones, with the receiver's address and the size of the encoded frame in bytes.
	OnFrame func(from *Instance, to string, frame *pb.Frame, size int)
	// BeforeSend, if set, is called when a running process is about to write a
	// request to its upstream, to check again whether it may be sent. If it returns
	// false, the request is refused.
	BeforeSend func(*Instance, Spec) bool
	// ReadStore and CopyConfirmed execute the actions of those names; they are
	// required if nodes set node.Config.RefreshWithin.
	ReadStore     func(i *Instance, a node.ReadStore)
	CopyConfirmed func(i *Instance, a node.CopyConfirmed)
	// IgnoreFencing is a mutation that a check must detect: orders are sent after
	// their time limit, and upstreams accept old fencing numbers.
	IgnoreFencing bool

	cuts            map[[2]string]bool
	listed          map[string]node.ListedInstance
	listOrder       []string
	fencing         map[string]uint64
	nextIncarnation uint64
	seed            uint64
}

// Instance is one process run of an instance; a restart creates a new one.
type Instance struct {
	Name, Address string
	Incarnation   uint64
	Node          *node.Node
	Alive, Paused bool
	// StartedAt and ResumedAt are the times of the process's start and of its last
	// resumption after a pause.
	StartedAt, ResumedAt time.Duration

	world     *World
	config    node.Config
	nextID    uint64
	postponed []func()
	requests  map[node.RequestID]*requestState
}

// requestState is what the instance's protocol adapters know of a request. It is kept
// after the request has ended.
type requestState struct {
	spec     Spec
	upstream string
	// sent is true while the request is at its upstream: from the first byte written
	// to the connection until the result or a cancellation.
	sent bool
	// fromCaller is false for a call that another instance forwarded; origin is then
	// the id of the request at that instance.
	fromCaller bool
	origin     scheduler.GlobalID
	// ended is true once the caller was answered or its connection ended;
	// disconnected is true if the caller closed the connection itself.
	ended, disconnected bool
}

// Spec is a request of a caller.
type Spec struct {
	Kind, Organisation string
	// Model is empty for calls to plain services.
	Model string
	// Tier is the rank of the kind's tier. The node does not receive it; it is used
	// in checks of the trace.
	Tier           int
	Labels         map[string]string
	Prompt, Output uint32
	Remaining      time.Duration
	Key            string
	// FirstAttempt is true if the caller asserts that it has not sent a call with Key
	// before.
	FirstAttempt bool
	// QuotaCost and the following fields are those of node.SubmitRequest.
	QuotaCost   float64
	MaxSends    uint32
	Repeatable  bool
	StartWithin time.Duration
}

// NewWorld returns a world without instances and upstreams.
func NewWorld(seed uint64) *World {
	loop := NewLoop(seed)
	return &World{
		Loop: loop, Platform: NewPlatform(loop), Trace: &Trace{}, Delay: 1500 * time.Microsecond, EventsPerReport: 8, TokensPerEvent: 1, seed: seed,
		Engines: map[string]*Engine{}, Services: map[string]*Service{}, cuts: map[[2]string]bool{},
		listed: map[string]node.ListedInstance{}, fencing: map[string]uint64{},
	}
}

// AddEngine adds a fake engine and an entry for it to the platform's list.
func (w *World) AddEngine(config EngineConfig) *Engine {
	e := NewEngine(w.Loop, config)
	w.Engines[config.Name] = e
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: "1", Upstream: true})
	return e
}

// AddService adds a fake plain service and an entry for it to the platform's list.
func (w *World) AddService(config ServiceConfig) *Service {
	s := NewService(w.Loop, config)
	w.Services[config.Name] = s
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: "1", Upstream: true})
	return s
}

// SetListed adds or replaces the entry of that name in the platform's list.
func (w *World) SetListed(entry node.ListedInstance) {
	if _, ok := w.listed[entry.Name]; !ok {
		w.listOrder = append(w.listOrder, entry.Name)
	}
	w.listed[entry.Name] = entry
	w.publishList()
}

// Unlist removes an entry from the platform's list.
func (w *World) Unlist(name string) {
	delete(w.listed, name)
	w.listOrder = slices.DeleteFunc(w.listOrder, func(other string) bool { return other == name })
	w.publishList()
}

func (w *World) publishList() {
	var entries []node.ListedInstance
	for _, name := range w.listOrder {
		entries = append(entries, w.listed[name])
	}
	w.Platform.SetList(entries)
}

// Start starts a process with a new incarnation and lists it. A restarted process
// keeps its name and address.
func (w *World) Start(config node.Config) *Instance {
	w.nextIncarnation++
	config.Incarnation = node.Incarnation(w.nextIncarnation<<32 | w.seed&0xffff<<8 | w.nextIncarnation)
	config.Started = w.Loop.Now()
	config.TicketSecret = fmt.Appendf(nil, "%032d", w.nextIncarnation)
	i := &Instance{
		Name: config.Name, Address: config.PeerAddress, Incarnation: uint64(config.Incarnation),
		Node: node.New(config, w.seed+w.nextIncarnation), Alive: true, StartedAt: w.Loop.Now(),
		world: w, config: config, requests: map[node.RequestID]*requestState{},
	}
	w.Instances = append(w.Instances, i)
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: fmt.Sprint("run", w.nextIncarnation), PeerAddress: config.PeerAddress})
	phase := time.Duration(w.Loop.Rand.Float64() * float64(tickInterval))
	w.Loop.After(phase, func() {
		i.step(node.Tick{})
		w.Loop.Every(tickInterval, func() bool {
			if !i.Paused {
				i.step(node.Tick{})
			}
			return i.Alive
		})
	})
	return i
}

// Live returns the running processes, including paused ones.
func (w *World) Live() []*Instance {
	var live []*Instance
	for _, i := range w.Instances {
		if i.Alive {
			live = append(live, i)
		}
	}
	return live
}

// Kill ends a process. Its connections with callers and upstreams break.
func (w *World) Kill(i *Instance) {
	if !i.Alive {
		return
	}
	i.Alive = false
	w.recordDisturbance(i, "kill")
	w.Unlist(i.Name)
	for _, id := range i.requestIDs() {
		f := i.requests[id]
		if !f.ended {
			i.recordEnd(id, f, OutcomeLost, node.Refuse{})
		}
		if f.sent {
			i.cancelUpstream(id, f)
		}
	}
}

// Restart starts a killed process again.
func (w *World) Restart(i *Instance) *Instance { return w.Start(i.config) }

// Pause suspends a process without closing its connections.
func (w *World) Pause(i *Instance) {
	i.Paused = true
	w.recordDisturbance(i, "pause")
}

// Resume continues a paused process. Events that arrived during the pause are
// handled after the first, delayed tick.
func (w *World) Resume(i *Instance) {
	if !i.Paused {
		return
	}
	i.Paused, i.ResumedAt = false, w.Loop.Now()
	w.recordDisturbance(i, "resume")
	postponed := i.postponed
	i.postponed = nil
	i.step(node.Tick{})
	for _, fn := range postponed {
		fn()
	}
}

func (w *World) recordDisturbance(i *Instance, what string) {
	w.Trace.Disturbances = append(w.Trace.Disturbances, Disturbance{At: w.Loop.Now(), Address: i.Address, Kind: what})
}

// step passes an event to the node and executes the resulting actions. While the
// process is paused, the event is postponed.
func (i *Instance) step(ev node.Event) {
	if !i.Alive {
		return
	}
	if i.Paused {
		i.postponed = append(i.postponed, func() { i.step(ev) })
		return
	}
	for _, action := range i.Node.Step(i.world.Loop.Now(), ev, nil) {
		i.perform(action)
	}
}

// RunInProcess runs fn as part of the process: at once, after the end of a pause, or never
// if the process has ended.
func (i *Instance) RunInProcess(fn func()) {
	switch {
	case !i.Alive:
	case i.Paused:
		i.postponed = append(i.postponed, func() { i.RunInProcess(fn) })
	default:
		fn()
	}
}

// Deliver passes an event to the node.
func (i *Instance) Deliver(ev node.Event) { i.step(ev) }

func (i *Instance) perform(action node.Action) {
	w := i.world
	switch a := action.(type) {
	case node.SendFrame:
		w.send(i, a)
	case node.Dispatch:
		i.dispatch(a)
	case node.CancelUpstream:
		if f := i.requests[a.ID]; f != nil && f.sent {
			i.cancelUpstream(a.ID, f)
		}
	case node.Refuse:
		if f := i.requests[a.ID]; f != nil {
			i.recordEnd(a.ID, f, OutcomeRefused, a)
		}
	case node.ReplyRecorded:
		if f := i.requests[a.ID]; f != nil {
			i.replyRecorded(a, f)
		}
	case node.RunForwarded:
		i.requests[a.ID] = &requestState{
			spec:   Spec{Kind: a.Call.Kind, Organisation: a.Call.Organisation, Key: a.Call.Key},
			origin: w.Trace.findForwarded(a.Call.Key, a.Call.Sequence, i.Incarnation),
		}
	case node.StoreCall:
		if w.PlatformUnreachable[i.Address] {
			w.Loop.After(callTimeout, func() { i.step(node.StoreDone{Call: a.Call, Result: storeResult{Status: store.Unavailable}}) })
			return
		}
		w.Platform.Call(a.Op, func(r storeResult) { i.step(node.StoreDone{Call: a.Call, Result: r}) })
	case node.ListInstances:
		w.Loop.After(2*time.Millisecond, func() {
			if w.PlatformUnreachable[i.Address] {
				i.step(node.InstanceList{})
				return
			}
			entries, ok := w.Platform.List()
			i.step(node.InstanceList{OK: ok, Instances: entries})
		})
	case node.ReadStore:
		w.ReadStore(i, a)
	case node.CopyConfirmed:
		w.CopyConfirmed(i, a)
	case node.SendOrder:
		i.sendOrder(a)
	case node.ChangeDone:
		w.Trace.Changes = append(w.Trace.Changes, ChangeResult{At: w.Loop.Now(), Instance: i.Incarnation, Done: a})
	case node.ConfigInForce:
		w.Trace.InForce = append(w.Trace.InForce, InForce{At: w.Loop.Now(), Instance: i.Incarnation, Revision: a.Revision})
	case node.Count:
		w.Trace.addCount(a)
	case node.Drained:
		w.Trace.Drained = append(w.Trace.Drained, InForce{At: w.Loop.Now(), Instance: i.Incarnation})
	}
}

func (i *Instance) replyRecorded(a node.ReplyRecorded, f *requestState) {
	if r := i.world.Trace.Find(i.globalID(a.ID)); r != nil {
		r.RecordedBody = string(a.Outcome.GetBody())
	}
	i.recordEnd(a.ID, f, OutcomeAnswered, node.Refuse{})
}

// Submit sends a caller's request to the instance and returns its record.
func (i *Instance) Submit(spec Spec) *Request {
	w := i.world
	i.nextID++
	id := node.RequestID(i.nextID)
	r := &Request{ID: i.globalID(id), Spec: spec, Instance: i.Name, Address: i.Address, Submitted: w.Loop.Now()}
	w.Trace.addRequest(r)
	if !i.Alive {
		r.Outcome, r.Ended, r.Code = OutcomeLost, w.Loop.Now(), "connect"
		return r
	}
	i.requests[id] = &requestState{spec: spec, fromCaller: true}
	i.step(node.SubmitRequest{
		ID: id, Organisation: spec.Organisation, Kind: spec.Kind, Model: spec.Model, Labels: spec.Labels, PromptTokens: spec.Prompt,
		MaxOutputTokens: spec.Output, Remaining: spec.Remaining, IdempotencyKey: spec.Key, FirstAttempt: spec.FirstAttempt, Body: []byte(spec.Key),
		QuotaCost: spec.QuotaCost, MaxSends: spec.MaxSends, Repeatable: spec.Repeatable,
		StartWithin: spec.StartWithin,
	})
	return r
}

// Change submits an operator's configuration change.
func (i *Instance) Change(change node.ApplyChange) { i.step(change) }

// Order requests that an order be sent to an upstream.
func (i *Instance) Order(order node.OrderUpstream) { i.step(order) }

// Drain starts a planned stop of the process.
func (i *Instance) Drain() { i.step(node.Drain{}) }

// DisconnectCaller closes the connection of a request's caller.
func (i *Instance) DisconnectCaller(r *Request) {
	id := node.RequestID(r.ID.Sequence)
	if f := i.requests[id]; f != nil && !f.ended {
		i.recordEnd(id, f, OutcomeDisconnected, node.Refuse{})
		i.step(node.CallerDisconnected{ID: id})
	}
}

func (i *Instance) globalID(id node.RequestID) scheduler.GlobalID {
	return scheduler.GlobalID{Entry: i.Incarnation, Sequence: uint64(id)}
}

func (i *Instance) requestIDs() []node.RequestID {
	ids := make([]node.RequestID, 0, len(i.requests))
	for id := range i.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// recordEnd marks a request as ended and records the outcome for its caller.
func (i *Instance) recordEnd(id node.RequestID, f *requestState, outcome Outcome, refusal node.Refuse) {
	if f.ended && f.disconnected {
		// The node ended the request before it learned that the caller disconnected.
		return
	}
	f.ended, f.disconnected = true, outcome == OutcomeDisconnected
	if r := i.world.Trace.Find(i.globalID(id)); r != nil && f.fromCaller {
		r.recordEnd(i.world.Loop.Now(), outcome, refusal)
	}
}
