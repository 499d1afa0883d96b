// Package node composes the decision packages into one deterministic state
// machine: events and the time go in, actions come out. It does no I/O, starts
// no goroutine and reads no clock, so a test can run many nodes in one process
// and replay a run from its seed.
package node
