package httpfront

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/eventlog"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// writeKeyPair writes a self-signed certificate and its key.
func writeKeyPair(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	dir := t.TempDir()
	certificate, key = filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	require.NoError(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	return certificate, key
}

// TestTLS checks over TLS that input limits, answers and the notice of a
// disconnected caller work as they do without TLS.
func TestTLS(t *testing.T) {
	disconnected := make(chan struct{})
	b := &backend{serve: func(ctx context.Context, r *Request, answer Answer) {
		if len(r.Body) == 0 {
			<-ctx.Done()
			close(disconnected)
			return
		}
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200, Body: r.Body})
	}}
	handler := NewHandler(b, time.Minute, eventlog.New(zerolog.Nop(), "", "", nil))
	handler.SetAccess(NewAccess(testSet()))
	certificate, key := writeKeyPair(t)
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", TLSCertificate: certificate, TLSKey: key, MaxBodyBytes: 4096, MaxHeaderBytes: 2048,
		MaxConnections: 10, MaxBufferedBytes: 10_000, ReadTimeout: 5 * time.Second, Handler: handler, InputErrorBody: BadInputBody, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)

	send := func(input string) (*tls.Conn, *bufio.Reader) {
		c, err := tls.Dial("tcp", server.Address(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		_, err = io.WriteString(c, input)
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	for input, status := range map[string]int{
		rawHead + "Content-Length: 3\r\n\r\nabc":                   200,
		rawHead + "Content-Length: 5000\r\n\r\n":                   413,
		rawHead + "X-A: " + strings.Repeat("a", 3000) + "\r\n\r\n": 431,
		"BLAH\r\n\r\n": 400,
	} {
		c, reader := send(input)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, fmt.Sprintf("%.80q", input))
		require.Equal(t, status, resp.StatusCode, "%.80q", input)
		_ = c.Close()
	}
	c, _ := send(rawHead + "Content-Length: 0\r\n\r\n")
	for b.served.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, c.Close())
	<-disconnected
}
