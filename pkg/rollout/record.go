package rollout

import "time"

// Phase is how far an order has come.
type Phase uint8

// Phases of an order. Completed and Reverted are final for an Order.ID.
const (
	// Waiting means that there is no upstream of the version yet.
	Waiting Phase = iota + 1
	// Judging means that the version gets a small part of the requests.
	Judging
	// Shifting means that the version gets all new requests, and those in progress at the
	// current version run to their end.
	Shifting
	// Completed means that the version has all the traffic.
	Completed
	// Reverted means that the version gets no requests.
	Reverted
)

var phaseNames = [...]string{"none", "waiting", "judging", "shifting", "completed", "reverted"}

// String returns the phase in lower case.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// ParsePhase returns the phase of a name that String returned; false if there is none.
func ParsePhase(name string) (Phase, bool) {
	for p := Waiting; p <= Reverted; p++ {
		if phaseNames[p] == name {
			return p, true
		}
	}
	return 0, false
}

// Final reports whether the phase is the last one of an order.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// Record is what is kept of an order in the store. Its zero value stands for an order of which
// nothing is stored.
type Record struct {
	// Order is Order.ID.
	Order uint64
	Phase Phase
	// Reserved is the number of requests that may have been sent to the version, which is not
	// limited in Shifting and Completed. Served is the number of requests of the service counted
	// when Reserved was last raised, and Bad the number of bad answers beyond those that the
	// current version's rates explain.
	Reserved, Served, Bad uint64
	// Elapsed is the time since the order was first seen. An instance that has seen the order
	// for longer raises it before it calls New, also if nothing else of the order is stored.
	Elapsed time.Duration
	// Hold is set while an operator holds the order where it is.
	Hold bool
	// Revision is the revision of the object as read; condition of the next write.
	Revision uint64
}
