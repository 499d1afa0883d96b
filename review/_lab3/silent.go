package main

import (
	"fmt"
	"time"
)

// silent: a part of prompts crashes each server that answers it, and the server goes dark in place
// of closing its connections.
func silent(l *Lab, trouble bool) (int, error) {
	t := newTally(l)
	for i := range 18 {
		e := &Engine{Lab: l, Service: "lamp-llm", Poison: poisonPart, Dark: trouble, DownFor: 4500 * time.Millisecond, Events: 30, Gap: 20 * time.Millisecond, Slots: 10,
			KeptFor: entryKept, OnArrive: t.arrive, OnCrash: t.crash}
		if err := e.Start(fmt.Sprintf("lamp-llm-%d", i)); err != nil {
			return couldNot, err
		}
	}
	err := l.Configure([]Route{
		{Name: "r-fault-report", Prefix: "/lohu930/", Kind: "stream", Service: "lamp-llm", Attempts: 1, TimeoutMs: 15000, Priority: 0},
		{Name: "r-stock-tag", Prefix: "/cufi504/", Kind: "stream", Service: "lamp-llm", Attempts: 1, TimeoutMs: 3000, Priority: 2}}, []string{"lamp-llm"})
	if err != nil {
		return couldNot, err
	}
	nodes, err := startNodes(l)
	if err != nil {
		return couldNot, err
	}
	c := newClients()
	c.every(60*time.Millisecond, func(k int) { t.sendSound(nodes[k%3], "/lohu930/2f", 15000, k) })
	c.every(60*time.Millisecond, func(k int) { t.sendSound(nodes[k%3], "/cufi504/2f", 3000, 1<<20+k) })
	time.Sleep(4 * time.Second)
	c.every(500*time.Millisecond, func(k int) { t.sendPoison(nodes[k%3], "/lohu930/2f", 15000, k) })
	time.Sleep(25 * time.Second)
	c.end()
	return t.result(), nil
}
