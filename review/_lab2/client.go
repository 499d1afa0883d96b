package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// newAttempt returns a new id of an attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1)) }

// request is one attempt of a client.
type request struct {
	id, method, path, key string
	headers               map[string]string
	body                  []byte
	deadlineMs            int
}

// answer is what a client received.
type answer struct {
	status int
	seal   string
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends one attempt on a connection of its own.
func (r *request) send(front string) answer {
	if r.id == "" {
		r.id = newAttempt()
	}
	began := time.Now()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: false, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Duration(r.deadlineMs)*time.Millisecond + time.Second}
	call, err := http.NewRequest(r.method, "http://"+front+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	call.Host = host
	call.Header.Set(names.ID, r.id)
	call.Header.Set(names.Deadline, fmt.Sprint(r.deadlineMs))
	if r.key != "" {
		call.Header.Set(names.Key, r.key)
	}
	for name, value := range r.headers {
		call.Header.Set(name, value)
	}
	response, err := client.Do(call)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get(names.Seal), header: response.Header, body: body, err: err, took: time.Since(began)}
}

// String describes an answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, error %v, after %d ms", a.status, a.seal, len(a.body), a.err, a.took.Milliseconds())
}
