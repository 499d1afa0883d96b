package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	revoke     = 5 * time.Second // revokeMs
	revokedKey = "n2ctnfzs989anu6wsjnb"
	// Times after the acknowledgement of the configuration without the key.
	copiedAt   = -500 * time.Millisecond
	awayAt     = 3500 * time.Millisecond
	killedAt   = 3600 * time.Millisecond
	startedAt  = 4100 * time.Millisecond
	returnedAt = 4500 * time.Millisecond
	rewriteAt  = 6400 * time.Millisecond
	endAt      = 9 * time.Second
)

// drill: a key is taken away; the store comes back from a copy that still has it, and an instance
// that starts reads that.
func drill(l *Lab, trouble bool) (int, error) {
	store := NewDrill()
	if err := l.UseStore(store, store); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var acknowledged time.Time
	late, runs := 0, 0
	onRun := func(r *http.Request) {
		id := r.Header.Get(names.ID)
		mu.Lock()
		defer mu.Unlock()
		sent, ofRevoked := sentAt[id]
		if !ofRevoked {
			return
		}
		runs++
		if !acknowledged.IsZero() && sent.Sub(acknowledged) > revoke {
			late++
			l.Note("request %s with the revoked key runs, sent %.2f s after the acknowledgement", id, sent.Sub(acknowledged).Seconds())
		}
	}
	for i := range 3 {
		p := &Plain{ID: fmt.Sprintf("i-%d", i), OnRun: onRun}
		address, err := Serve(p)
		if err != nil {
			return couldNot, err
		}
		if err := l.Register(p.ID, "depot-app", address, "ready", 6, 1700000000000); err != nil {
			return couldNot, err
		}
	}
	routes := []Route{{Name: "r-cell-booking", Prefix: "/puxa403/", Kind: "non_idempotent", Service: "depot-app", Attempts: 1, TimeoutMs: 600, Priority: 2}}
	l.Keys = []string{Key, revokedKey}
	if err := l.Configure(routes, nil); err != nil {
		return couldNot, err
	}
	nodes, err := startNodes(l)
	if err != nil {
		return couldNot, err
	}
	c := newClients()
	statuses := map[string]int{}
	for _, n := range nodes {
		c.every(50*time.Millisecond, func(int) {
			_, status, _ := l.SendNoted(n, Call{Method: "POST", Path: "/puxa403/2f", Body: "hello", DeadlineMs: 600, Key: revokedKey}, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sentAt[id] = time.Now()
			})
			mu.Lock()
			defer mu.Unlock()
			phase := "before"
			if !acknowledged.IsZero() {
				phase = "after"
			}
			statuses[fmt.Sprintf("%s %s %d", n.Name, phase, status)]++
		})
	}
	time.Sleep(2 * time.Second)
	saved := store.Copy()
	time.Sleep(-copiedAt)
	l.Keys = []string{Key}
	if err := l.Configure(routes, nil); err != nil {
		return couldNot, err
	}
	mu.Lock()
	acknowledged = time.Now()
	start := acknowledged
	mu.Unlock()
	l.Note("the store acknowledges the configuration without the key")
	at := func(after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
	at(awayAt)
	if trouble {
		l.Note("the store is away")
		store.Leave()
	}
	at(killedAt)
	l.Note("front-3 is killed")
	nodes[2].Kill()
	at(startedAt)
	if err := l.Restart(nodes[2]); err != nil {
		return couldNot, err
	}
	at(returnedAt)
	if trouble {
		l.Note("the store is back from a copy that is %.1f s older than its absence", (awayAt - copiedAt).Seconds())
		store.Return(saved)
	}
	at(rewriteAt)
	if trouble {
		l.Note("the operator writes the configuration again")
		if err := l.Rewrite(); err != nil {
			return couldNot, err
		}
	}
	at(endAt)
	c.end()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d requests with the key ran, %d of them sent later than %v after the acknowledgement (none may); answers %v", runs, late, revoke, statuses)
	l.Note("%s", text)
	fmt.Println(text)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
