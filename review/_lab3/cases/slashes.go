package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/citrongate/citrongate/review/_lab3/lab"
)

// slashes: paths begin with two slashes, on a route for all paths.
func slashes(l *lab.Lab, trouble bool) (int, error) {
	var mu sync.Mutex
	targets := map[string]string{}
	runs, changed := 0, 0
	onRun := func(r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		defer mu.Unlock()
		runs++
		l.Note("a server runs request %s: %s %s", id, r.Method, r.RequestURI)
		if targets[id] != r.RequestURI {
			changed++
			l.Note("the client sent %q", targets[id])
		}
	}
	for i := range 3 {
		p := &lab.Plain{ID: fmt.Sprintf("i-%d", i), OnRun: onRun}
		address, err := lab.ServeAnyTarget(p)
		if err != nil {
			return couldNot, err
		}
		if err := l.Register(p.ID, "depot-app", address, "ready", 6, 1700000000000); err != nil {
			return couldNot, err
		}
	}
	err := l.Configure([]lab.Route{{Name: "r-all", Prefix: "/", Kind: "non_idempotent", Service: "depot-app", Attempts: 1, TimeoutMs: 3000, Priority: 2}}, nil)
	if err != nil {
		return couldNot, err
	}
	nodes, err := startNodes(l)
	if err != nil {
		return couldNot, err
	}
	statuses := map[int]int{}
	for k := range 60 {
		target := fmt.Sprintf("/orders/%d?view=short", k)
		if trouble && k%2 == 1 {
			target = "/" + target
		}
		id, status, err := l.SendTarget(nodes[k%3], target, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			targets[id] = target
		})
		if err != nil {
			return couldNot, err
		}
		l.Note("request %s with the target %s: status %d", id, target, status)
		statuses[status]++
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d requests ran, %d of them with another path than the client's (none may); answers %v", runs, changed, statuses)
	l.Note("%s", text)
	fmt.Println(text)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
