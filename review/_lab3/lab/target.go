package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// ServeAnyTarget serves a handler that gets each request with the target as it came, which
// net/http's server would refuse if it is no path.
func ServeAnyTarget(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAnyTarget(c, h)
		}
	}()
	return listener.Addr().String(), nil
}

func serveAnyTarget(c net.Conn, h http.Handler) {
	defer func() { _ = c.Close() }()
	reader := textproto.NewReader(bufio.NewReader(c))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		method, rest, _ := strings.Cut(line, " ")
		target, _, _ := strings.Cut(rest, " ")
		header, err := reader.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length"))
		body := make([]byte, length)
		if _, err := io.ReadFull(reader.R, body); err != nil {
			return
		}
		answer := &collected{header: http.Header{}, status: http.StatusOK}
		h.ServeHTTP(answer, &http.Request{Method: method, RequestURI: target, URL: &url.URL{Opaque: target}, Header: http.Header(header), Body: io.NopCloser(bytes.NewReader(body))})
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", answer.status, http.StatusText(answer.status))
		answer.header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
		_ = answer.header.Write(&out)
		out.WriteString("\r\n")
		out.Write(answer.body.Bytes())
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// collected holds an answer until it is complete.
type collected struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *collected) Header() http.Header         { return c.header }
func (c *collected) WriteHeader(status int)      { c.status = status }
func (c *collected) Write(p []byte) (int, error) { return c.body.Write(p) }

// SendTarget sends one request with a target as it is and returns the status.
func (l *Lab) SendTarget(n *Node, target string, note func(id string)) (id string, status int, err error) {
	id = l.ID()
	note(id)
	c, err := net.DialTimeout("tcp", n.Front, time.Second)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", target, Host, id, Key)
	if err != nil {
		return id, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return id, response.StatusCode, err
}
