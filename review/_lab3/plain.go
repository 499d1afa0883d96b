package main

import (
	"fmt"
	"io"
	"net/http"
)

// Plain is a server of a plain service.
type Plain struct {
	ID    string
	OnRun func(r *http.Request)
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(names.ID)
	w.Header().Set(names.ID, id)
	if r.Header.Get(names.Expect) != p.ID {
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.OnRun(r)
	w.Header().Set(names.Seal, p.ID+"."+id)
	if r.Header.Get(names.Parts) != "" {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: answer of %s to %s\n\n", p.ID, id)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", p.ID, id)
}
