package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of one read from an upstream.
	readBufferBytes = 4 << 10
	// idleLimit is how long a connection without a stated keep-alive time is kept.
	idleLimit = 3 * time.Second
	// keepAliveMargin is left of the keep-alive time that an upstream states in
	// whole seconds.
	keepAliveMargin = time.Second
	// safeIdle is how long a connection may have been idle for a request that
	// must not meet a connection that is just being closed.
	safeIdle = time.Second
	// unackedLimit is how long sent bytes may stay without acknowledgement
	// before the connection counts as dead.
	unackedLimit = 3 * time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// served counts the answers that came on the connection.
	served    int
	idleSince time.Time
	// idleUntil is when the upstream may close the idle connection.
	idleUntil time.Time
}

// Client keeps the connections to upstreams. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: setUnackedLimit},
		idle:    map[string][]*conn{},
	}
}

// setUnackedLimit makes the kernel give up a connection whose other side has
// gone silent.
func setUnackedLimit(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, kept := range conns {
			_ = kept.Close()
		}
		delete(c.idle, address)
	}
}

// Forget closes the idle connections to an address, for example because its
// upstream has ended and another may get the address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, kept := range conns {
		_ = kept.Close()
	}
}

// get returns a connection to the address, kept or new.
func (c *Client) get(ctx context.Context, address string, repeatable bool) (*conn, error) {
	for {
		kept := c.take(address, repeatable)
		if kept == nil {
			break
		}
		if kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// take removes the newest idle connection that may be used.
func (c *Client) take(address string, repeatable bool) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if !now.Before(last.idleUntil) {
		// Those below have been idle even longer.
		for _, old := range conns {
			_ = old.Close()
		}
		c.keep(address, nil)
		return nil
	}
	if !repeatable && now.Sub(last.idleSince) > safeIdle {
		return nil
	}
	c.keep(address, conns[:len(conns)-1])
	return last
}

func (c *Client) keep(address string, conns []*conn) {
	if len(conns) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = conns
}

// put keeps a connection whose answer ended cleanly.
func (c *Client) put(address string, kept *conn, header http.Header) {
	now := time.Now()
	limit := idleLimit
	if stated, ok := keepAlive(header); ok {
		limit = stated - keepAliveMargin
	}
	if limit <= 0 {
		_ = kept.Close()
		return
	}
	kept.served++
	kept.idleSince, kept.idleUntil = now, now.Add(limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) >= c.options.MaxIdle {
		_ = conns[0].Close()
		conns = conns[1:]
	}
	c.idle[address] = append(conns, kept)
}

// keepAlive reads the time for which the upstream keeps an idle connection.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// quiet reports whether a kept connection is open and has nothing to read.
// Bytes that arrived since the last answer belong to no request.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
	})
	return err == nil && quiet
}
