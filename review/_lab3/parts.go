package main

import (
	"fmt"
	"time"
)

const moveEvery = 9 * time.Second

// parts: a part of prompts crashes each server that answers it, while versions of the
// configuration move its route from one service to another.
func parts(l *Lab, trouble bool) (int, error) {
	t := newTally(l)
	services := []string{"lamp-llm", "lamp-llm-b", "lamp-llm-c", "lamp-llm-d"}
	for _, service := range services {
		for i := range 4 {
			e := &Engine{Lab: l, Service: service, Poison: poisonPart, DownFor: 4 * time.Second, Events: 30, Gap: 20 * time.Millisecond, Slots: 10,
				KeptFor: entryKept, OnArrive: t.arrive, OnCrash: t.crash}
			if err := e.Start(fmt.Sprintf("%s-%d", service, i)); err != nil {
				return couldNot, err
			}
		}
	}
	configure := func(service string) error {
		l.Note("configuration: the route goes to %s", service)
		return l.Configure([]Route{{Name: "r-828m82t", Prefix: "/pufi791/", Kind: "stream", Service: service, Attempts: 2, TimeoutMs: 15000}}, services)
	}
	if err := configure(services[0]); err != nil {
		return couldNot, err
	}
	nodes, err := startNodes(l)
	if err != nil {
		return couldNot, err
	}
	c := newClients()
	c.every(40*time.Millisecond, func(k int) { t.sendSound(nodes[k%3], "/pufi791/2f", 5000, k) })
	time.Sleep(4 * time.Second)
	c.every(500*time.Millisecond, func(k int) { t.sendPoison(nodes[k%3], "/pufi791/2f", 5000, k) })
	for _, service := range services[1:] {
		time.Sleep(moveEvery)
		if trouble {
			if err := configure(service); err != nil {
				return couldNot, err
			}
		}
	}
	time.Sleep(moveEvery)
	c.end()
	return t.result(), nil
}
