package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// answering starts a server that gives each connection the texts in turn, one a request, and then
// closes it.
func answering(t *testing.T, texts ...string) string {
	return testserver.Listen(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for _, text := range texts {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

// TestBrokenAnswersAreNone guards against a broken answer of a store that counts as one: a write that
// is taken for acknowledged or refused, or a read of something that the store does not have. A read
// meets it on a new and on a kept connection, and is repeated by the transport at most there.
func TestBrokenAnswersAreNone(t *testing.T) {
	for name, text := range testserver.BrokenAnswers("X-Own: 1\r\n", "wrong") {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			for _, sound := range []int{0, 1} {
				if method == http.MethodPut && sound > 0 {
					continue // each write has a connection of its own
				}
				t.Run(fmt.Sprintf("%q, %s, after %d", name, method, sound), func(t *testing.T) {
					t.Parallel()
					address := answering(t, append([]string{soundAnswer, text}[1-sound:], soundAnswer)...)
					caller := NewCaller(address, 1, 5*time.Second)
					defer caller.Close()
					for range sound {
						answer := caller.Call(context.Background(), method, "/", nil, nil, 100)
						require.NoError(t, answer.Err)
						require.Equal(t, "sound", string(answer.Body))
					}
					answer := caller.Call(context.Background(), method, "/", nil, []byte("x"), 100)
					if answer.Err == nil {
						require.Equal(t, "sound", string(answer.Body), "repeated on a new connection")
						require.Equal(t, 1, sound)
						return
					}
					require.True(t, answer.Lost)
					require.False(t, answer.Unsent)
					require.Empty(t, answer.Body)
				})
			}
		}
	}
}

// TestCutAnswersAreNone guards against an answer whose connection ends inside its head or its body, at any
// byte, and that counts as one.
func TestCutAnswersAreNone(t *testing.T) {
	for _, whole := range []string{soundAnswer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n"} {
		for cut := range len(whole) {
			caller := NewCaller(answering(t, whole[:cut]), 1, 5*time.Second)
			answer := caller.Call(context.Background(), http.MethodPut, "/", nil, []byte("x"), 100)
			require.Error(t, answer.Err, "%q", whole[:cut])
			require.True(t, answer.Lost)
			require.Empty(t, answer.Body)
			caller.Close()
		}
	}
}

// endlessStarts are followed by a text without end: no answer, a head and a body.
var endlessStarts = map[string]string{
	"no answer": "", "status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX: ", "interim answers": "HTTP/1.1 103 E\r\n\r\n",
	"body": "HTTP/1.1 200 OK\r\n\r\n", "long body": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
}

// TestEndlessAnswerEndsItsConnection guards against bytes that a store sends without end and that are
// kept, or read until the time of the call is over.
func TestEndlessAnswerEndsItsConnection(t *testing.T) {
	for name, start := range endlessStarts {
		for _, more := range []string{"x", "HTTP/1.1 103 E\r\nX: 1\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, %q", name, more), func(t *testing.T) {
				sent := make(chan int64, 1)
				address := testserver.Listen(t, func(c net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, err := io.WriteString(c, start)
					block := strings.Repeat(more, 1+1000/len(more))
					total := int64(0)
					for err == nil {
						var n int
						n, err = io.WriteString(c, block)
						total += int64(n)
					}
					sent <- total
				})
				caller := NewCaller(address, 1, time.Minute)
				defer caller.Close()
				began := time.Now()
				answer := caller.Call(context.Background(), http.MethodPost, "/", nil, []byte("x"), 1<<20)
				require.Error(t, answer.Err)
				require.True(t, answer.Lost)
				select {
				case <-sent: // the connection was closed
				case <-time.After(20 * time.Second):
					require.FailNow(t, "the connection stays open")
				}
				require.Less(t, time.Since(began), 20*time.Second)
			})
		}
	}
}
