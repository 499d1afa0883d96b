package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/citrongate/citrongate/internal/standin/jsonhttp"
)

// Order is a control command of an operator or of citrongate to the engine.
type Order struct {
	FencingNumber uint64 `json:"fencing_number"`
	// Verb is "load_model", "unload_model" or any other word, which has no effect
	// except that the order is recorded.
	Verb     string `json:"verb"`
	Argument string `json:"argument"`
}

// order applies an order. An engine that checks fencing refuses an order whose
// fencing number is lower than the highest one seen.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil || order.Verb == "" {
		refuse(w, http.StatusBadRequest, "bad_request", "an order must have fencing_number, verb and argument")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFencing && order.FencingNumber < e.fencing {
		refuse(w, http.StatusConflict, "stale_fencing_number", "the highest fencing number seen is "+strconv.FormatUint(e.fencing, 10))
		return
	}
	e.fencing = max(e.fencing, order.FencingNumber)
	e.orders = append(e.orders, order)
	switch order.Verb {
	case "load_model":
		e.models[order.Argument] = true
	case "unload_model":
		delete(e.models, order.Argument)
	}
	jsonhttp.Write(w, map[string]bool{"applied": true})
}

// load answers with the load as of LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	sample := loadSample{at: now}
	if len(e.loads) > 0 {
		sample = e.loads[0]
	}
	for _, later := range e.loads {
		if now.Sub(later.at) >= e.config.LoadLag {
			sample = later
		}
	}
	jsonhttp.Write(w, map[string]int64{
		"running": int64(sample.running), "waiting": int64(sample.waiting),
		"age_ms": now.Sub(sample.at).Milliseconds(),
	})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	events, next, gap := e.events.since(time.Now(), after)
	e.mu.Unlock()
	jsonhttp.Write(w, map[string]any{"events": events, "next": next, "gap": gap})
}

func (e *Engine) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(w, e.faults)
	})
	mux.HandleFunc("POST /control/state", e.setState)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(w, e.counters)
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(w, e.runs)
	})
	mux.HandleFunc("GET /control/orders", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		jsonhttp.Write(w, append([]Order{}, e.orders...))
	})
}

// setState updates the faults that are present in the request body.
func (e *Engine) setState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&changed); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.faults = changed
	e.notify()
	jsonhttp.Write(w, e.faults)
}
