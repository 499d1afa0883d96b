package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citrongate/citrongate/internal/answerhead"
)

const (
	// readBufferBytes is the size of one read from an upstream.
	readBufferBytes = 4 << 10
	// defaultIdleLimit is how long an idle connection is kept if the upstream
	// states no keep-alive time.
	defaultIdleLimit = 3 * time.Second
	// keepAliveMargin is subtracted from the keep-alive time that an upstream
	// states, which is in whole seconds.
	keepAliveMargin = time.Second
	// maxIdleNotRepeatable is how long a connection may have been idle to be used
	// for a request that is not repeatable, since the upstream may be closing an
	// older one just as the request is sent.
	maxIdleNotRepeatable = time.Second
	// unackedLimit is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedLimit = 3 * time.Second
	// maxServed bounds conn.served. A later copy of an older answer is taken for that
	// of another request.
	maxServed = 16
	// maxUnfinished bounds conn.unfinished; the connection is closed beyond it.
	maxUnfinished = 64
)

// conn is a connection to an upstream, with the times that bound its reuse.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head is what reader reads from. It checks and bounds the heads of answers.
	head *answerhead.Reader
	// served are the ids of the requests that the connection has carried last, the
	// newest at the end. A second copy of one of their answers may still arrive.
	served []string
	// unfinished are the ids of requests that this connection has carried and that
	// may be sent again. A late second copy of such an answer could not be told
	// from the answer to the next send, so that one uses another connection.
	unfinished []string
	idleSince  time.Time
	// idleUntil is when the upstream may close the idle connection.
	idleUntil time.Time
}

// Client sends requests to upstreams and pools idle connections. It is safe for
// concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	requestBytes requestBytes

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1, Control: setUnackedLimit},
		idle:    map[string][]*conn{},

		requestBytes: requestBytes{limit: options.MaxRequestBytes, byAddress: map[string]*requestRoom{}},
	}
}

// setUnackedLimit makes the kernel close a connection whose other end no longer
// acknowledges bytes.
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

// CloseIdle closes the idle connections to an address, for example because its
// upstream has ended and another may get the address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, kept := range conns {
		_ = kept.Close()
	}
}

// connection returns an idle connection that can be used for the request, or a new
// one. It fails if ctx has ended, so that nothing is sent after that.
func (c *Client) connection(ctx context.Context, request *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		kept := c.takeIdle(request)
		if kept == nil {
			break
		}
		if kept.usable() {
			return kept, nil
		}
		_ = kept.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	head := answerhead.NewReader(raw)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

// takeIdle removes and returns the newest idle connection that the request may use,
// or nil if there is none.
func (c *Client) takeIdle(request *Request) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[request.Address]
	for i, kept := range slices.Backward(conns) {
		if !now.Before(kept.idleUntil) {
			// Those before it have been idle even longer.
			for _, old := range conns[:i+1] {
				_ = old.Close()
			}
			c.setIdle(request.Address, slices.Delete(conns, 0, i+1))
			return nil
		}
		if !request.Repeatable && now.Sub(kept.idleSince) > maxIdleNotRepeatable {
			return nil
		}
		if !slices.Contains(kept.unfinished, request.ID) {
			c.setIdle(request.Address, slices.Delete(conns, i, i+1))
			return kept
		}
	}
	return nil
}

// setIdle replaces the idle connections to an address.
func (c *Client) setIdle(address string, conns []*conn) {
	if len(conns) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = conns
}

// markUnfinished records that the request was carried by this connection and may
// be sent again. It returns false if the connection can record no more requests.
func (c *conn) markUnfinished(id string) bool {
	c.unfinished = append(c.unfinished, id)
	return len(c.unfinished) < maxUnfinished
}

// markServed records that the answer to the request has ended.
func (c *conn) markServed(id string) {
	if len(c.served) >= maxServed {
		c.served = slices.Delete(c.served, 0, 1)
	}
	c.served = append(c.served, id)
}

// returnIdle adds a connection on which the answer to the request with the id ended
// cleanly to the idle ones.
func (c *Client) returnIdle(address, id string, kept *conn, header http.Header) {
	now := time.Now()
	limit := defaultIdleLimit
	if stated, ok := keepAlive(header); ok {
		limit = stated - keepAliveMargin
	}
	if limit <= 0 {
		_ = kept.Close()
		return
	}
	kept.markServed(id)
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

// keepAlive returns the time for which the upstream keeps an idle connection, as
// stated in its answer.
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

// usable reports whether an idle connection is open and has no bytes to read.
// Bytes that arrived since the last answer belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	usable := false
	err := c.control(func(fd int) {
		var one [1]byte
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
	})
	return err == nil && usable
}

// shutDown reports whether the connection has ended in both directions. After an orderly close by
// the other end alone, it has not.
func (c *conn) shutDown() (ended bool, err error) {
	controlErr := c.control(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // without events, it reports errors and the end
		var n int
		for n, err = unix.Poll(fds, 0); err == unix.EINTR; n, err = unix.Poll(fds, 0) {
		}
		ended = n > 0
	})
	return ended, errors.Join(controlErr, err)
}

// control calls f with the descriptor of the connection.
func (c *conn) control(f func(fd int)) error {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(fd uintptr) { f(int(fd)) })
}
