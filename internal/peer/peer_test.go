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
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// certificateAuthority issues the certificates of a test.
type certificateAuthority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *certificateAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &certificateAuthority{dir: t.TempDir(), certificate: certificate, key: key}
	a.writePEM(t, "authority.pem", "CERTIFICATE", der)
	return a
}

func (a *certificateAuthority) writePEM(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// peerConfig issues a certificate for the IP addresses and returns a Config that uses it.
func (a *certificateAuthority) peerConfig(t *testing.T, name string, ips ...net.IP) Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: ips}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	return Config{
		Address:     "127.0.0.1:0",
		Certificate: a.writePEM(t, name+".pem", "CERTIFICATE", der),
		Key:         a.writePEM(t, name+".key", "PRIVATE KEY", encoded),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

type testEndpoint struct {
	*Endpoint
	frames chan *pb.Frame
}

func newTestEndpoint(t *testing.T, config Config) *testEndpoint {
	t.Helper()
	e := &testEndpoint{frames: make(chan *pb.Frame, 4096)}
	config.Log = zerolog.Nop()
	config.Receive = func(f *pb.Frame) { e.frames <- f }
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	var err error
	e.Endpoint, err = New(config)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// sendUntilReceived sends a frame repeatedly, since frames may be lost, until one
// arrives, and returns that one.
func sendUntilReceived(t *testing.T, from *testEndpoint, to string, frames chan *pb.Frame, frame *pb.Frame) *pb.Frame {
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

func newFrame(n uint64) *pb.Frame { return &pb.Frame{From: n, ConfigRevision: n} }

// TestFramesArriveInOrder guards against reordered frames, a large frame that does
// not arrive and a second connection to the same peer.
func TestFramesArriveInOrder(t *testing.T) {
	a, b := newTestEndpoint(t, Config{}), newTestEndpoint(t, Config{})
	sendUntilReceived(t, a, b.Address(), b.frames, newFrame(1))
	sendUntilReceived(t, b, a.Address(), a.frames, newFrame(2))
	require.Len(t, a.conns, 1)
	require.Len(t, b.conns, 1)
	for n := uint64(10); n < 200; n++ {
		a.Send(b.Address(), newFrame(n))
	}
	for n := uint64(10); n < 200; {
		got := <-b.frames
		if got.GetFrom() < 10 {
			continue // sent again by sendUntilReceived
		}
		require.Equal(t, n, got.GetFrom())
		n++
	}
	large := &pb.Frame{From: 7, Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Body: make([]byte, 3<<20)}}}}}
	for got := sendUntilReceived(t, a, b.Address(), b.frames, large); got.GetFrom() != 7; got = <-b.frames {
		continue
	}
}

// TestMutualTLSRejectsUntrustedPeers guards against exchanging frames with a peer
// that the authority does not vouch for, whichever side connects.
func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	loopback := net.IPv4(127, 0, 0, 1)
	a, b := newTestEndpoint(t, trusted.peerConfig(t, "a", loopback)), newTestEndpoint(t, trusted.peerConfig(t, "b", loopback))
	sendUntilReceived(t, a, b.Address(), b.frames, newFrame(1))

	untrustedConfigs := map[string]Config{
		"signed by another authority":   other.peerConfig(t, "s", loopback),
		"self-signed":                   {},
		"issued for another IP address": trusted.peerConfig(t, "w", net.IPv4(127, 0, 0, 99)),
	}
	for name, peerConfig := range untrustedConfigs {
		untrusted := newTestEndpoint(t, peerConfig)
		untrusted.Send(a.Address(), newFrame(99))
		a.Send(untrusted.Address(), newFrame(98))
		// Frames of a trusted peer arrive meanwhile: the untrusted peer's frames are
		// rejected, not delayed by a blocked endpoint.
		for range 3 {
			require.Equal(t, uint64(1), sendUntilReceived(t, b, a.Address(), a.frames, newFrame(1)).GetFrom(), name)
		}
		_, err := untrusted.dial(a.Address())
		if err == nil {
			// The client may complete the handshake before the server rejects it.
			for untrusted.connection(a.Address()) != nil {
				time.Sleep(time.Millisecond)
			}
		}
		require.Empty(t, untrusted.frames, name)
		require.Nil(t, a.connection(untrusted.Address()), name)
	}
	for len(a.frames) > 0 {
		require.Equal(t, uint64(1), (<-a.frames).GetFrom())
	}
}

// TestCertificatesRequiredOutsideLoopback guards against an endpoint without valid
// certificates on an address, or with a seed, outside the loopback interface.
func TestCertificatesRequiredOutsideLoopback(t *testing.T) {
	for name, config := range map[string]Config{
		"address outside loopback": {Address: "192.0.2.1:7000"},
		"seed outside loopback":    {Address: "127.0.0.1:0", Seeds: []string{"192.0.2.1:7000"}},
		"files that do not exist":  {Address: "127.0.0.1:0", Certificate: "none", Key: "none", Authority: "none"},
	} {
		_, err := New(config)
		require.True(t, errorx.IsOfType(err, ErrIdentity), name)
	}
}

// TestUnresponsivePeerDoesNotBlockSender guards against a peer that answers nothing
// and thereby blocks the sender or makes its queue grow without bound.
func TestUnresponsivePeerDoesNotBlockSender(t *testing.T) {
	a, b := newTestEndpoint(t, Config{}), newTestEndpoint(t, Config{})
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	body := make([]byte, 100<<10)
	large := &pb.Frame{Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Body: body}}}}}
	for range 10 * maxQueuedFrames {
		a.Send(silent.LocalAddr().String(), large)
	}
	a.mu.Lock()
	queued := a.links[silent.LocalAddr().String()].queuedBytes
	a.mu.Unlock()
	require.LessOrEqual(t, queued, maxQueuedBytes)
	require.Equal(t, uint64(5), sendUntilReceived(t, a, b.Address(), b.frames, newFrame(5)).GetFrom())
}

// TestSlowReceiverLosesNoFrames guards against a blocked receiver that delays
// frames to other peers or loses some of its own.
func TestSlowReceiverLosesNoFrames(t *testing.T) {
	a := newTestEndpoint(t, Config{})
	release := make(chan struct{})
	got := make(chan uint64, maxQueuedFrames)
	slow, err := New(Config{Address: "127.0.0.1:0", Log: zerolog.Nop(), Receive: func(f *pb.Frame) { <-release; got <- f.GetFrom() }})
	require.NoError(t, err)
	defer slow.Close()
	for n := uint64(1); n <= 100; n++ {
		a.Send(slow.Address(), newFrame(n))
	}
	b := newTestEndpoint(t, Config{})
	sendUntilReceived(t, a, b.Address(), b.frames, newFrame(5))
	close(release)
	for n := uint64(1); n <= 100; n++ {
		require.Equal(t, n, <-got)
	}
}

// TestReconnectToRestartedPeer guards against sending into the connection of an
// earlier process at the same address.
func TestReconnectToRestartedPeer(t *testing.T) {
	a, b := newTestEndpoint(t, Config{}), newTestEndpoint(t, Config{})
	address := b.Address()
	sendUntilReceived(t, a, address, b.frames, newFrame(1))
	// A killed process closes its socket without sending CONNECTION_CLOSE.
	_ = b.socket.Close()
	b.Close()
	restarted := newTestEndpoint(t, Config{Address: address})
	require.Equal(t, uint64(2), sendUntilReceived(t, a, address, restarted.frames, newFrame(2)).GetFrom())
}

// dialUntilConnected dials until the handshake completes: one that takes longer than
// handshakeTimeout, as when the process stands still for that long, is no fault.
func dialUntilConnected(t *testing.T, from *testEndpoint, address string) *quic.Conn {
	var conn *quic.Conn
	require.Eventually(t, func() bool {
		var err error
		conn, err = from.dial(address)
		return err == nil
	}, 30*time.Second, time.Millisecond)
	return conn
}

// TestMalformedFramesAreRejected guards against a peer that sends a frame that is
// too long, malformed or truncated, and that thereby breaks the receiver.
func TestMalformedFramesAreRejected(t *testing.T) {
	a := newTestEndpoint(t, Config{})
	for _, raw := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1}, {0, 0, 0, 2, 0xff, 0xff}, {0, 0, 0, 9, 1}, {0}} {
		b := newTestEndpoint(t, Config{})
		stream, err := dialUntilConnected(t, b, a.Address()).OpenUniStream()
		require.NoError(t, err)
		_, err = stream.Write(raw)
		require.NoError(t, err)
		require.NoError(t, stream.Close())
		sendUntilReceived(t, newTestEndpoint(t, Config{}), a.Address(), a.frames, newFrame(3))
	}
	for len(a.frames) > 0 {
		require.Equal(t, uint64(3), (<-a.frames).GetFrom())
	}
}
