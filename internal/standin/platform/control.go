package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/citrongate/citrongate/internal/standin/jsonhttp"
)

func (p *Platform) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/state", p.getState)
	mux.HandleFunc("POST /control/state", p.setState)
	mux.HandleFunc("GET /control/counters", p.getCounters)
	mux.HandleFunc("POST /control/instances", p.putInstance)
	mux.HandleFunc("POST /control/instances/{name}/leaving", p.leaveInstance)
	mux.HandleFunc("DELETE /control/instances/{name}", p.removeInstance)
}

func (p *Platform) getState(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	jsonhttp.Write(w, p.faults)
}

// setState updates the faults that are present in the request body.
func (p *Platform) setState(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.faults
	if !readJSON(w, r, &changed) {
		return
	}
	if changed.Outage && !p.faults.Outage {
		close(p.outage)
		p.outage = make(chan struct{})
	}
	p.faults = changed
	lag := time.Duration(changed.ListLagMs) * time.Millisecond
	p.instances.setStale(p.now(), changed.StaleList, lag)
	jsonhttp.Write(w, p.faults)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	jsonhttp.Write(w, p.counters)
}

// putInstance lists an instance until it is removed.
func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	if !readJSON(w, r, &instance) || !checkInstance(w, instance) {
		return
	}
	p.instances.addPermanent(p.now(), instance)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) leaveInstance(w http.ResponseWriter, r *http.Request) {
	if !p.instances.markLeaving(p.now(), r.PathValue("name")) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) removeInstance(w http.ResponseWriter, r *http.Request) {
	if !p.instances.remove(p.now(), r.PathValue("name")) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counters.Lists++
	faults := p.faults
	p.mu.Unlock()
	if faults.ListOutage {
		http.Error(w, "the instance list is not available", http.StatusServiceUnavailable)
		return
	}
	lag := time.Duration(faults.ListLagMs) * time.Millisecond
	jsonhttp.Write(w, map[string]any{"instances": p.instances.listAt(p.now(), lag)})
}

// heartbeat lists the instance in the body until its time to live has passed.
func (p *Platform) heartbeat(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counters.Heartbeats++
	outage := p.faults.ListOutage
	p.mu.Unlock()
	if outage {
		http.Error(w, "the instance list is not available", http.StatusServiceUnavailable)
		return
	}
	var instance Instance
	if !readJSON(w, r, &instance) || !checkInstance(w, instance) {
		return
	}
	p.instances.heartbeat(p.now(), instance)
	w.WriteHeader(http.StatusNoContent)
}

func checkInstance(w http.ResponseWriter, instance Instance) bool {
	if instance.Name == "" || instance.Incarnation == "" {
		http.Error(w, "name and incarnation are required", http.StatusBadRequest)
		return false
	}
	return true
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
