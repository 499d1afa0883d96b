package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attempt is one attempt of a client and what came back.
type attempt struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// client is a client with one connection, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("%016x", attempts.Add(1)) }

// head is the head of a client's request.
func head(method, path, id, key string, deadline time.Duration, more ...string) *bytes.Buffer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, path, id, deadline.Milliseconds(), key)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	return &b
}

// call sends one request with a body of known length and reads the answer.
func (c *client) call(method, path, key string, deadline time.Duration, body []byte, more ...string) *attempt {
	a := &attempt{id: newID()}
	started := time.Now()
	b := head(method, path, a.id, key, deadline, more...)
	if method != http.MethodGet && method != http.MethodHead {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(started.Add(deadline + 2*time.Second))
	if _, a.err = c.conn.Write(b.Bytes()); a.err == nil {
		c.read(a, method)
	}
	a.took = time.Since(started)
	return a
}

// read reads the answer to an attempt.
func (c *client) read(a *attempt, method string) {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header = r.StatusCode, r.Header
	a.body, a.err = io.ReadAll(r.Body)
}
