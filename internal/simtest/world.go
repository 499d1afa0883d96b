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
	// upstreamDelay is the time one way between an instance and an upstream.
	upstreamDelay = time.Millisecond
)

// World runs a few nodes against fake upstreams and a fake platform in virtual
// time. It carries out the nodes' actions as the edges would, and records what
// callers and upstreams saw.
type World struct {
	Loop      *Loop
	Platform  *Platform
	Instances []*Instance
	Engines   map[string]*Engine
	Services  map[string]*Service
	Trace     *Trace

	// Delay is the time one way between instances; Loss the probability that a
	// frame is lost.
	Delay time.Duration
	Loss  float64
	// FrameBytes counts the encoded bytes of frames between instances.
	FrameBytes uint64
	// Jitter is added to Delay by chance for each frame, so that frames
	// overtake each other, as small frames overtake large ones.
	Jitter time.Duration
	// UncheckedAnswers is a mutation: the edge does not compare answer ids.
	UncheckedAnswers bool
	// SwapAnswers makes engines answer with another request's id now and then.
	SwapAnswers float64
	// OnOrder, if set, is called when a process is about to send an order, so
	// that a fault can hit it at that moment.
	OnOrder func(*Instance)
	// NoPlatform holds the addresses of processes that cannot reach the platform.
	NoPlatform map[string]bool
	// TokenReport is after how many tokens of a stream the edge tells the node;
	// NewWorld sets 8.
	TokenReport uint32
	// TokensPerEvent is the number of tokens that engines send at once. Outputs
	// are counted in events.
	TokensPerEvent uint32
	// OnFrame, if set, is called for every frame that an instance sends, with
	// the address of the receiver and the size of the encoded frame in bytes.
	OnFrame func(from *Instance, to string, frame *pb.Frame, size int)
	// BeforeSend, if set, is asked by a running process when it is about to write
	// a request to its upstream. With false the request is refused instead.
	BeforeSend func(*Instance, Spec) bool
	// ReadStore and CopyConfirmed carry out actions of nodes with
	// node.Config.RefreshWithin.
	ReadStore     func(i *Instance, a node.ReadStore)
	CopyConfirmed func(i *Instance, a node.CopyConfirmed)
	// IgnoreFencing is a mutation: upstreams accept orders with an old number.
	IgnoreFencing bool

	cuts      map[[2]string]bool
	listed    map[string]node.ListedInstance
	listOrder []string
	fencing   map[string]uint64
	nextInc   uint64
	seed      uint64
}

// Instance is one process.
type Instance struct {
	Name, Address string
	Incarnation   uint64
	Node          *node.Node
	Alive, Paused bool
	// StartedAt and ResumedAt are when the process started and last continued.
	StartedAt, ResumedAt time.Duration

	world   *World
	config  node.Config
	nextID  uint64
	waiting []func()
	flights map[node.RequestID]*flight
}

// flight is a request that the instance's edges hold.
type flight struct {
	spec     Spec
	upstream string
	// sent is true once a byte was handed to the upstream's connection.
	sent bool
	// caller is false for a call that another instance forwarded; origin is
	// then the request there.
	caller bool
	origin scheduler.GlobalID
	// ended is true once the caller was answered or left.
	ended, gone bool
}

// Spec is a request of a caller.
type Spec struct {
	Kind, Organisation string
	// Model is empty for calls to plain services.
	Model string
	// Tier is the rank of the kind's tier, for checks of the trace.
	Tier           int
	Labels         map[string]string
	Prompt, Output uint32
	Remaining      time.Duration
	Key            string
	// FirstAttempt is true if the caller vouches that it sent no call with Key before.
	FirstAttempt bool
	// QuotaCost and what follows are those of node.SubmitRequest.
	QuotaCost   float64
	MaxSends    uint32
	Repeatable  bool
	StartWithin time.Duration
}

// NewWorld returns a world without instances.
func NewWorld(seed uint64) *World {
	loop := NewLoop(seed)
	return &World{
		Loop: loop, Platform: NewPlatform(loop), Trace: &Trace{}, Delay: 1500 * time.Microsecond, TokenReport: 8, TokensPerEvent: 1, seed: seed,
		Engines: map[string]*Engine{}, Services: map[string]*Service{}, cuts: map[[2]string]bool{},
		listed: map[string]node.ListedInstance{}, fencing: map[string]uint64{},
	}
}

// AddEngine adds a fake engine and lists it.
func (w *World) AddEngine(config EngineConfig) *Engine {
	e := NewEngine(w.Loop, config)
	w.Engines[config.Name] = e
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: "1", Upstream: true})
	return e
}

// AddService adds a fake plain service and lists it.
func (w *World) AddService(config ServiceConfig) *Service {
	s := NewService(w.Loop, config)
	w.Services[config.Name] = s
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: "1", Upstream: true})
	return s
}

// SetListed adds or replaces a line of the platform's list.
func (w *World) SetListed(line node.ListedInstance) {
	if _, ok := w.listed[line.Name]; !ok {
		w.listOrder = append(w.listOrder, line.Name)
	}
	w.listed[line.Name] = line
	w.publishList()
}

// Unlist removes a line of the platform's list.
func (w *World) Unlist(name string) {
	delete(w.listed, name)
	w.listOrder = slices.DeleteFunc(w.listOrder, func(other string) bool { return other == name })
	w.publishList()
}

func (w *World) publishList() {
	var lines []node.ListedInstance
	for _, name := range w.listOrder {
		lines = append(lines, w.listed[name])
	}
	w.Platform.SetList(lines)
}

// Start starts a process; a restarted one has the same name and address and a
// new incarnation.
func (w *World) Start(config node.Config) *Instance {
	w.nextInc++
	config.Incarnation = node.Incarnation(w.nextInc<<32 | w.seed&0xffff<<8 | w.nextInc)
	config.Started = w.Loop.Now()
	config.TicketSecret = fmt.Appendf(nil, "%032d", w.nextInc)
	i := &Instance{
		Name: config.Name, Address: config.PeerAddress, Incarnation: uint64(config.Incarnation),
		Node: node.New(config, w.seed+w.nextInc), Alive: true, StartedAt: w.Loop.Now(),
		world: w, config: config, flights: map[node.RequestID]*flight{},
	}
	w.Instances = append(w.Instances, i)
	w.SetListed(node.ListedInstance{Name: config.Name, Incarnation: fmt.Sprint("run", w.nextInc), PeerAddress: config.PeerAddress})
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

// Live returns the processes that run, paused ones included.
func (w *World) Live() []*Instance {
	var live []*Instance
	for _, i := range w.Instances {
		if i.Alive {
			live = append(live, i)
		}
	}
	return live
}

// Kill ends a process. Its callers' and upstreams' connections break.
func (w *World) Kill(i *Instance) {
	if !i.Alive {
		return
	}
	i.Alive = false
	w.disturb(i, "kill")
	w.Unlist(i.Name)
	for _, id := range i.flightIDs() {
		f := i.flights[id]
		if !f.ended {
			i.end(id, f, OutcomeLost, node.Refuse{})
		}
		if f.sent {
			i.cancelUpstream(id, f)
		}
	}
}

// Restart starts a killed process again.
func (w *World) Restart(i *Instance) *Instance { return w.Start(i.config) }

// Pause stops a process without ending its connections.
func (w *World) Pause(i *Instance) {
	i.Paused = true
	w.disturb(i, "pause")
}

// Resume continues a paused process. What arrived meanwhile is handled after
// the first tick, which is late.
func (w *World) Resume(i *Instance) {
	if !i.Paused {
		return
	}
	i.Paused, i.ResumedAt = false, w.Loop.Now()
	w.disturb(i, "resume")
	waiting := i.waiting
	i.waiting = nil
	i.step(node.Tick{})
	for _, fn := range waiting {
		fn()
	}
}

func (w *World) disturb(i *Instance, what string) {
	w.Trace.Disturbances = append(w.Trace.Disturbances, Disturbance{At: w.Loop.Now(), Address: i.Address, What: what})
}

// step hands an event to the node and carries out the actions. While the
// process is paused the event waits.
func (i *Instance) step(ev node.Event) {
	if !i.Alive {
		return
	}
	if i.Paused {
		i.waiting = append(i.waiting, func() { i.step(ev) })
		return
	}
	for _, action := range i.Node.Step(i.world.Loop.Now(), ev, nil) {
		i.perform(action)
	}
}

// Do runs fn in the process: at once, when it continues after a pause, or never
// if it has ended.
func (i *Instance) Do(fn func()) {
	switch {
	case !i.Alive:
	case i.Paused:
		i.waiting = append(i.waiting, func() { i.Do(fn) })
	default:
		fn()
	}
}

// Deliver hands an event to the node.
func (i *Instance) Deliver(ev node.Event) { i.step(ev) }

func (i *Instance) perform(action node.Action) {
	w := i.world
	switch a := action.(type) {
	case node.SendFrame:
		w.send(i, a)
	case node.Dispatch:
		i.dispatch(a)
	case node.CancelUpstream:
		if f := i.flights[a.ID]; f != nil && f.sent {
			i.cancelUpstream(a.ID, f)
		}
	case node.Refuse:
		if f := i.flights[a.ID]; f != nil {
			i.end(a.ID, f, OutcomeRefused, a)
		}
	case node.ReplyRecorded:
		if f := i.flights[a.ID]; f != nil {
			i.replyRecorded(a, f)
		}
	case node.RunForwarded:
		i.flights[a.ID] = &flight{
			spec:   Spec{Kind: a.Call.Kind, Organisation: a.Call.Organisation, Key: a.Call.Key},
			origin: w.Trace.forwarded(a.Call.Key, a.Call.Sequence, i.Incarnation),
		}
	case node.StoreCall:
		if w.NoPlatform[i.Address] {
			w.Loop.After(callTimeout, func() { i.step(node.StoreDone{Call: a.Call, Result: storeResult{Status: store.Unavailable}}) })
			return
		}
		w.Platform.Call(a.Op, func(r storeResult) { i.step(node.StoreDone{Call: a.Call, Result: r}) })
	case node.ListInstances:
		w.Loop.After(2*time.Millisecond, func() {
			if w.NoPlatform[i.Address] {
				i.step(node.InstanceList{})
				return
			}
			lines, ok := w.Platform.List()
			i.step(node.InstanceList{OK: ok, Instances: lines})
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
		w.Trace.count(a)
	case node.Drained:
		w.Trace.Drained = append(w.Trace.Drained, InForce{At: w.Loop.Now(), Instance: i.Incarnation})
	}
}

func (i *Instance) replyRecorded(a node.ReplyRecorded, f *flight) {
	if r := i.world.Trace.Find(i.globalID(a.ID)); r != nil {
		r.RecordedBody = string(a.Outcome.GetBody())
	}
	i.end(a.ID, f, OutcomeAnswered, node.Refuse{})
}

// Submit hands a caller's request to an instance and returns its record.
func (i *Instance) Submit(spec Spec) *Request {
	w := i.world
	i.nextID++
	id := node.RequestID(i.nextID)
	r := &Request{ID: i.globalID(id), Spec: spec, Instance: i.Name, Address: i.Address, Submitted: w.Loop.Now()}
	w.Trace.add(r)
	if !i.Alive {
		r.Outcome, r.Ended, r.Code = OutcomeLost, w.Loop.Now(), "connect"
		return r
	}
	i.flights[id] = &flight{spec: spec, caller: true}
	i.step(node.SubmitRequest{
		ID: id, Organisation: spec.Organisation, Kind: spec.Kind, Model: spec.Model, Labels: spec.Labels, PromptTokens: spec.Prompt,
		MaxOutputTokens: spec.Output, Remaining: spec.Remaining, IdempotencyKey: spec.Key, FirstAttempt: spec.FirstAttempt, Body: []byte(spec.Key),
		QuotaCost: spec.QuotaCost, MaxSends: spec.MaxSends, Repeatable: spec.Repeatable,
		StartWithin: spec.StartWithin,
	})
	return r
}

// Change submits an operator's change.
func (i *Instance) Change(change node.ApplyChange) { i.step(change) }

// Order asks for an order to an upstream.
func (i *Instance) Order(order node.OrderUpstream) { i.step(order) }

// Drain starts a planned stop.
func (i *Instance) Drain() { i.step(node.Drain{}) }

// CallerLeaves closes the connection of a request's caller.
func (i *Instance) CallerLeaves(r *Request) {
	id := node.RequestID(r.ID.Sequence)
	if f := i.flights[id]; f != nil && !f.ended {
		i.end(id, f, OutcomeGone, node.Refuse{})
		i.step(node.CallerGone{ID: id})
	}
}

func (i *Instance) globalID(id node.RequestID) scheduler.GlobalID {
	return scheduler.GlobalID{Entry: i.Incarnation, Sequence: uint64(id)}
}

func (i *Instance) flightIDs() []node.RequestID {
	ids := make([]node.RequestID, 0, len(i.flights))
	for id := range i.flights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// end records what the caller of a request sees.
func (i *Instance) end(id node.RequestID, f *flight, outcome Outcome, refusal node.Refuse) {
	if f.ended && f.gone {
		// The process had not learned yet that the caller left.
		return
	}
	f.ended, f.gone = true, outcome == OutcomeGone
	if r := i.world.Trace.Find(i.globalID(id)); r != nil && f.caller {
		r.end(i.world.Loop.Now(), outcome, refusal)
	}
}
