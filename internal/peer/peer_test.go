package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority signs certificates of a test.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{dir: t.TempDir(), certificate: certificate, key: key}
	a.write(t, "authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// config issues a certificate for the IP addresses and returns the settings that use it.
func (a *authority) config(t *testing.T, name string, ips ...net.IP) Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: ips}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	return Config{
		Address:     "127.0.0.1:0",
		Certificate: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "PRIVATE KEY", encoded),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

type end struct {
	*Edge
	frames chan *pb.Frame
}

func open(t *testing.T, config Config) *end {
	t.Helper()
	e := &end{frames: make(chan *pb.Frame, 4096)}
	config.Log = zerolog.Nop()
	config.Receive = func(f *pb.Frame) { e.frames <- f }
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	var err error
	e.Edge, err = New(config)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// deliver sends frames until one arrives; frames may be lost.
func deliver(t *testing.T, from *end, to string, frames chan *pb.Frame, frame *pb.Frame) *pb.Frame {
	t.Helper()
	deadline := time.After(30 * time.Second)
	for {
		from.Send(to, frame)
		select {
		case got := <-frames:
			return got
		case <-time.After(100 * time.Millisecond):
		case <-deadline:
			require.FailNow(t, "no frame arrived")
		}
	}
}

func ping(n uint64) *pb.Frame { return &pb.Frame{From: n, ConfigRevision: n} }

// TestFrames guards against lost order, lost content and a second connection per peer.
func TestFrames(t *testing.T) {
	a, b := open(t, Config{}), open(t, Config{})
	deliver(t, a, b.Address(), b.frames, ping(1))
	deliver(t, b, a.Address(), a.frames, ping(2))
	require.Len(t, a.conns, 1)
	require.Len(t, b.conns, 1)
	for n := uint64(10); n < 200; n++ {
		a.Send(b.Address(), ping(n))
	}
	for n := uint64(10); n < 200; {
		got := <-b.frames
		if got.GetFrom() < 10 {
			continue // repeated by deliver
		}
		require.Equal(t, n, got.GetFrom())
		n++
	}
	large := &pb.Frame{From: 7, Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Body: make([]byte, 3<<20)}}}}}
	for got := deliver(t, a, b.Address(), b.frames, large); got.GetFrom() != 7; got = <-b.frames {
		continue
	}
}

// TestMutualTLS guards against accepting a stranger, as client or as server.
func TestMutualTLS(t *testing.T) {
	trial, other := newAuthority(t), newAuthority(t)
	loopback := net.IPv4(127, 0, 0, 1)
	a, b := open(t, trial.config(t, "a", loopback)), open(t, trial.config(t, "b", loopback))
	deliver(t, a, b.Address(), b.frames, ping(1))

	strangers := map[string]Config{
		"signed by another authority":   other.config(t, "s", loopback),
		"self-signed":                   {},
		"issued for another IP address": trial.config(t, "w", net.IPv4(127, 0, 0, 99)),
	}
	for name, config := range strangers {
		stranger := open(t, config)
		stranger.Send(a.Address(), ping(99))
		a.Send(stranger.Address(), ping(98))
		// Frames of a known peer pass meanwhile, so the refusal is not a stuck edge.
		for range 3 {
			require.Equal(t, uint64(1), deliver(t, b, a.Address(), a.frames, ping(1)).GetFrom(), name)
		}
		_, err := stranger.dial(a.Address())
		if err == nil {
			// The handshake may end at the client before the server refuses.
			for stranger.connection(a.Address()) != nil {
				time.Sleep(time.Millisecond)
			}
		}
		require.Empty(t, stranger.frames, name)
		require.Nil(t, a.connection(stranger.Address()), name)
	}
	for len(a.frames) > 0 {
		require.Equal(t, uint64(1), (<-a.frames).GetFrom())
	}
}

// TestIdentityRules guards against running without TLS outside loopback.
func TestIdentityRules(t *testing.T) {
	for name, config := range map[string]Config{
		"address outside loopback": {Address: "192.0.2.1:7000"},
		"seed outside loopback":    {Address: "127.0.0.1:0", Seeds: []string{"192.0.2.1:7000"}},
		"files that do not exist":  {Address: "127.0.0.1:0", Certificate: "none", Key: "none", Authority: "none"},
	} {
		_, err := New(config)
		require.True(t, errorx.IsOfType(err, ErrIdentity), name)
	}
}

// TestDeadPeer guards against a dead peer that blocks the sender or fills its memory.
func TestDeadPeer(t *testing.T) {
	a, b := open(t, Config{}), open(t, Config{})
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	body := make([]byte, 100<<10)
	large := &pb.Frame{Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Body: body}}}}}
	for range 10 * maxQueuedFrames {
		a.Send(silent.LocalAddr().String(), large)
	}
	a.mu.Lock()
	l := a.links[silent.LocalAddr().String()]
	a.mu.Unlock()
	require.LessOrEqual(t, l.bytes.Load(), int64(maxQueuedBytes))
	require.Equal(t, uint64(5), deliver(t, a, b.Address(), b.frames, ping(5)).GetFrom())
}

// TestSlowReceiver guards against a receiver whose own queue blocks others or loses frames in its middle.
func TestSlowReceiver(t *testing.T) {
	a := open(t, Config{})
	hold := make(chan struct{})
	got := make(chan uint64, maxQueuedFrames)
	slow, err := New(Config{Address: "127.0.0.1:0", Log: zerolog.Nop(), Receive: func(f *pb.Frame) { <-hold; got <- f.GetFrom() }})
	require.NoError(t, err)
	defer slow.Close()
	for n := uint64(1); n <= 100; n++ {
		a.Send(slow.Address(), ping(n))
	}
	b := open(t, Config{})
	deliver(t, a, b.Address(), b.frames, ping(5))
	close(hold)
	for n := uint64(1); n <= 100; n++ {
		require.Equal(t, n, <-got)
	}
}

// TestRestartedPeer guards against sending into the connection of an earlier
// process at the same address.
func TestRestartedPeer(t *testing.T) {
	a, b := open(t, Config{}), open(t, Config{})
	address := b.Address()
	deliver(t, a, address, b.frames, ping(1))
	// A killed process sends no farewell: its socket just closes.
	_ = b.socket.Close()
	b.Close()
	again := open(t, Config{Address: address})
	require.Equal(t, uint64(2), deliver(t, a, address, again.frames, ping(2)).GetFrom())
}

// TestBadFrames guards against unbounded or malformed input of a peer.
func TestBadFrames(t *testing.T) {
	a := open(t, Config{})
	for _, raw := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1}, {0, 0, 0, 2, 0xff, 0xff}, {0, 0, 0, 9, 1}, {0}} {
		b := open(t, Config{})
		conn, err := b.dial(a.Address())
		require.NoError(t, err)
		stream, err := conn.OpenUniStream()
		require.NoError(t, err)
		_, err = stream.Write(raw)
		require.NoError(t, err)
		require.NoError(t, stream.Close())
		deliver(t, open(t, Config{}), a.Address(), a.frames, ping(3))
	}
	for len(a.frames) > 0 {
		require.Equal(t, uint64(3), (<-a.frames).GetFrom())
	}
}
