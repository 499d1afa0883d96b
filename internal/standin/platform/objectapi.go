package platform

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/standin/jsonhttp"
)

// maxWatch is the maximum time for which a watch waits.
const maxWatch = 60 * time.Second

// withReadFaults applies the injected outage, delay and rate limit to a read.
func (p *Platform) withReadFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r, false) {
			next(w, r)
		}
	}
}

// withWriteFaults does the same for a write, and drops the request or its answer
// as set through the control API.
func (p *Platform) withWriteFaults(next func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
		if err != nil {
			http.Error(w, "value larger than 1 MiB", http.StatusRequestEntityTooLarge)
			return
		}
		if !p.admit(w, r, true) {
			return
		}
		dropRequest, dropAnswer := p.consumeDropFault()
		if dropRequest {
			closeConnection(w)
			return
		}
		if dropAnswer {
			next(discardResponse{header: http.Header{}}, r, body)
			closeConnection(w)
			return
		}
		next(w, r, body)
	}
}

// admit counts the call. If an outage or a rate limit refuses it, admit writes the
// refusal and returns false.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	p.mu.Lock()
	faults := p.faults
	allowed := p.countAndLimit(r, write)
	p.mu.Unlock()
	if faults.Outage {
		http.Error(w, "the object API is not available", http.StatusServiceUnavailable)
		return false
	}
	if !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	return true
}

// countAndLimit counts the call and charges it to its rate limit; it returns false
// if the call is not allowed.
func (p *Platform) countAndLimit(r *http.Request, write bool) bool {
	if p.faults.Outage {
		p.counters.Refused++
		return false
	}
	allowed := false
	switch {
	case write:
		p.counters.Writes++
		allowed = p.writes.takeToken(p.now(), p.faults.WritesPerSecond)
	default:
		if r.URL.Path == "/v1/watch" {
			p.counters.Watches++
		} else {
			p.counters.Reads++
		}
		allowed = p.reads.takeToken(p.now(), p.faults.ReadsPerSecond)
	}
	if !allowed {
		p.counters.Throttled++
	}
	return allowed
}

func (p *Platform) consumeDropFault() (request, answer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.DropRequests > 0:
		p.faults.DropRequests--
		p.counters.Dropped++
		return true, false
	case p.faults.DropAnswers > 0:
		p.faults.DropAnswers--
		p.counters.Dropped++
		return false, true
	}
	return false, false
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	found, ok := p.objects.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	setVersion(w, found.version)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(found.value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request, value []byte) {
	key := r.PathValue("key")
	if r.Header.Get("If-None-Match") == "*" {
		version, status := p.objects.create(key, value)
		answerWrite(w, version, status, http.StatusCreated)
		return
	}
	condition, ok := parseVersion(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	version, status := p.objects.update(key, value, condition)
	answerWrite(w, version, status, http.StatusOK)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request, _ []byte) {
	condition, ok := parseVersion(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "If-Match is required", http.StatusPreconditionRequired)
		return
	}
	version, status := p.objects.remove(r.PathValue("key"), condition)
	answerWrite(w, version, status, http.StatusNoContent)
}

func answerWrite(w http.ResponseWriter, version uint64, status writeStatus, success int) {
	switch status {
	case missing:
		http.Error(w, "no such object", http.StatusNotFound)
	case conditionFailed:
		setVersion(w, version)
		http.Error(w, "the object has another version", http.StatusPreconditionFailed)
	default:
		setVersion(w, version)
		w.WriteHeader(success)
	}
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	jsonhttp.Write(w, map[string]any{"objects": p.objects.list(r.URL.Query().Get("prefix"))})
}

// watch is a long poll: it answers as soon as there is a change after the version,
// or without events when the wait time is over.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatch))
	defer timer.Stop()
	p.mu.Lock()
	outage := p.outage
	p.mu.Unlock()
	for expired := false; ; {
		events, newest, changed, ok := p.objects.since(query.Get("prefix"), after)
		if !ok {
			http.Error(w, "changes after this version are no longer known; list again", http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			jsonhttp.Write(w, watchAnswer{Version: newest, Events: append([]Event{}, events...)})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-outage:
			http.Error(w, "the object API is not available", http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type watchAnswer struct {
	Version uint64  `json:"version"`
	Events  []Event `json:"events"`
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

func parseVersion(tag string) (uint64, bool) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return version, err == nil
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err == nil {
		conn.Close()
	}
}

// discardResponse is a ResponseWriter that discards an answer that is to be lost.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}
