package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	apply = 2 * time.Second // configApplyMs
	// steady is the time from which requests are counted, and counted how long they are.
	steady  = 6 * time.Second
	counted = 12 * time.Second
	// enough is the number of requests on later routes from which the rule holds, and share the
	// least fraction of the others' share that they must be served.
	enough = 20
	share  = 0.25
)

// added: a version adds a route without model requests to the model servers, and one with them to
// the plain servers.
func added(l *Lab, trouble bool) (int, error) {
	for i := range 3 {
		e := &Engine{Lab: l, Service: "lamp-llm", Events: 6, Gap: 10 * time.Millisecond, Slots: 10}
		if err := e.Start(fmt.Sprintf("lamp-llm-%d", i)); err != nil {
			return couldNot, err
		}
		p := &Plain{ID: fmt.Sprintf("i-depot-app-%d", i), OnRun: func(*http.Request) {}}
		address, err := Serve(p)
		if err != nil {
			return couldNot, err
		}
		if err := l.Register(p.ID, "depot-app", address, "ready", 6, 1700000000000); err != nil {
			return couldNot, err
		}
	}
	first := []Route{
		{Name: "r-warranty-answer", Prefix: "/pufi791/", Kind: "stream", Service: "lamp-llm", Attempts: 2, TimeoutMs: 15000, Priority: 1},
		{Name: "r-cell-booking", Prefix: "/puxa403/", Kind: "non_idempotent", Service: "depot-app", Attempts: 1, TimeoutMs: 600, Priority: 2},
	}
	later := []Route{
		{Name: "r-models", Prefix: "/cufi504/", Kind: "idempotent", Service: "lamp-llm", Attempts: 2, TimeoutMs: 3000, Priority: 2},
		{Name: "r-depot-chat", Prefix: "/gono990/", Kind: "stream", Service: "depot-app", Attempts: 1, TimeoutMs: 3000, Priority: 2},
	}
	if !trouble {
		later[0].Service, later[1].Service = later[1].Service, later[0].Service
	}
	if err := l.Configure(first, []string{"lamp-llm"}); err != nil {
		return couldNot, err
	}
	nodes, err := startNodes(l)
	if err != nil {
		return couldNot, err
	}
	if err := l.Configure(append(first, later...), []string{"lamp-llm"}); err != nil {
		return couldNot, err
	}
	acknowledged := time.Now()
	l.Note("the store acknowledges the version with the later routes: %s to %s, %s to %s", later[0].Name, later[0].Service, later[1].Name, later[1].Service)
	time.Sleep(max(steady, apply))
	var mu sync.Mutex
	sent, served := map[bool]int{}, map[bool]int{}
	statuses := map[string]int{}
	c := newClients()
	for _, r := range append(first, later...) {
		isLater := strings.HasPrefix(r.Name, later[0].Name) || strings.HasPrefix(r.Name, later[1].Name)
		call := Call{Method: "POST", Path: r.Prefix + "2f", Body: "hello", DeadlineMs: 3000}
		if r.Kind == "stream" {
			call.Parts = firstPart + ",a0000001:30"
		}
		if r.Kind == "idempotent" {
			call.Method, call.Body = "GET", ""
		}
		c.every(100*time.Millisecond, func(k int) {
			id, status, whole := l.Send(nodes[k%3], call)
			mu.Lock()
			defer mu.Unlock()
			sent[isLater]++
			if status == http.StatusOK && whole {
				served[isLater]++
			}
			statuses[fmt.Sprintf("%s %d", r.Name, status)]++
			if isLater {
				l.Note("request %s on %s, sent %.1f s after the acknowledgement: status %d", id, r.Name, time.Since(acknowledged).Seconds(), status)
			}
		})
	}
	time.Sleep(counted)
	c.end()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("later routes: %d of %d requests served; first routes: %d of %d; answers %v", served[true], sent[true], served[false], sent[false], statuses)
	l.Note("%s", text)
	fmt.Println(text)
	if sent[true] < enough || sent[false] == 0 {
		return couldNot, nil
	}
	if float64(served[true])/float64(sent[true]) < share*float64(served[false])/float64(sent[false]) {
		return broken, nil
	}
	return held, nil
}
