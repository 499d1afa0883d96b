package rollout_test

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (e *events) add(ev event) { heap.Push(e, ev) }
func (e *events) next() event  { return heap.Pop(e).(event) }
