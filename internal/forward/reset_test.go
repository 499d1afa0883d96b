package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/answerhead"
	"github.com/citrongate/citrongate/internal/testserver"
)

// unframedAnswers are the start of answers whose body ends with the connection.
var unframedAnswers = map[string]string{
	"plain":    okHead + "\r\npart",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\nId: a\r\nSeal: x\r\n\r\npart",
	"failure":  "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n\r\npart",
	"stream":   okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n",
}

// uploadSizes are lengths of request bodies: written at once, in the background, and those that the
// kernel does not take as a whole while the upstream reads none of it.
var uploadSizes = []int{0, 4 << 10, 64 << 10, 16 << 20}

// readStart reads the start of a request: as much as arrives at once.
func readStart(c net.Conn) {
	_, _ = c.Read(make([]byte, 512))
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// exchangeUpload exchanges a request with a body of a size.
func exchangeUpload(t *testing.T, address string, size int, stream bool) (Result, *caller) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := request(address, "a")
	r.Body, r.Stream = make([]byte, size), stream
	got := &caller{}
	result := boundedClient(t).Exchange(ctx, r, got.relay())
	require.NoError(t, ctx.Err(), result.Detail)
	return result, got
}

// TestResetIsNoEnd guards against a body without a length that is complete since its connection
// ended, although it was reset: at once, between two packets, and while the request is being written.
// The kernel reports a reset only once, to the write or to the read.
func TestResetIsNoEnd(t *testing.T) {
	for name, text := range unframedAnswers {
		for _, size := range uploadSizes {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, %v", name, size, pause), func(t *testing.T) {
					t.Parallel()
					address := testserver.Listen(t, func(c net.Conn) {
						readStart(c)
						_, _ = io.WriteString(c, text)
						time.Sleep(pause)
						reset(c)
					})
					for range 5 {
						result, _ := exchangeUpload(t, address, size, name == "stream")
						require.Equal(t, Broken, result.Status, result.Detail)
					}
				})
			}
		}
	}
}

// failingConn is a connection whose other end answers and resets it just before the first write.
type failingConn struct {
	*net.TCPConn
	answer func()
}

func (c failingConn) Write([]byte) (int, error) {
	c.answer()
	return 0, syscall.ECONNRESET
}

// TestAnswerToNothing guards against an answer on a kept connection that is taken for that to a
// request of which no byte could be written.
func TestAnswerToNothing(t *testing.T) {
	for _, size := range uploadSizes {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			answer := make(chan struct{})
			address := testserver.Listen(t, func(c net.Conn) {
				<-answer
				_, _ = io.WriteString(c, plain("a", "not asked"))
				<-answer
			})
			raw, err := net.Dial("tcp", address)
			require.NoError(t, err)
			head := answerhead.NewReader(raw)
			client := boundedClient(t)
			client.returnIdle(address, "b", &conn{
				Conn:   failingConn{raw.(*net.TCPConn), func() { answer <- struct{}{} }},
				reader: bufio.NewReader(head), head: head,
			}, http.Header{})
			r := request(address, "a")
			r.Body = make([]byte, size)
			got := &caller{}
			result := client.Exchange(context.Background(), r, got.relay())
			close(answer)
			require.Equal(t, NotSent, result.Status, result.Detail)
			require.Empty(t, got.body.String())
		})
	}
}

// TestOrderlyCloseIsAnEnd guards against an answer without a length that is taken for a broken one
// since its upstream did not read the whole request: it sent all of the answer before it closed.
func TestOrderlyCloseIsAnEnd(t *testing.T) {
	for name, text := range unframedAnswers {
		for _, size := range uploadSizes {
			for _, afterwards := range []string{"reads on", "resets later", "resets at once"} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", name, size, afterwards), func(t *testing.T) {
					t.Parallel()
					address := testserver.Listen(t, func(c net.Conn) {
						readStart(c)
						_, _ = io.WriteString(c, text)
						_ = c.(*net.TCPConn).CloseWrite()
						switch afterwards {
						case "reads on":
							_, _ = io.Copy(io.Discard, c)
						case "resets later":
							time.Sleep(50 * time.Millisecond)
							reset(c)
						default:
							reset(c)
						}
					})
					for range 5 {
						result, got := exchangeUpload(t, address, size, name == "stream")
						require.Equal(t, Complete, result.Status, result.Detail)
						require.Contains(t, got.body.String(), "part")
					}
				})
			}
		}
	}
}
