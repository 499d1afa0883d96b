package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
)

// Errors is the namespace of errors of this package.
var Errors = errorx.NewNamespace("peer")

// Errors of certificates and of peers.
var (
	// ErrIdentity means that this instance's certificate, key or authority is
	// missing or not usable.
	ErrIdentity = Errors.NewType("identity")
	// ErrPeerRejected means that a peer's certificate, address or frame is not accepted.
	ErrPeerRejected = Errors.NewType("stranger")
)

// alpnProtocol is the application protocol that both sides name in the TLS handshake.
const alpnProtocol = "citrongate-peer/1"

// identity holds this instance's certificate and the rule by which peers are accepted.
type identity struct {
	certificate tls.Certificate
	// authority is nil for self-signed certificates on the loopback interface.
	authority *x509.CertPool
	// trustAny accepts peers at any address although there is no authority.
	trustAny bool
	// resetKey is the key of QUIC stateless resets. It is the same after a restart,
	// so that a peer that still uses a connection of the earlier process learns at
	// once that it has ended.
	resetKey quic.StatelessResetKey
}

// loadIdentity reads the certificates named by config. If config names none, it
// creates a self-signed certificate, which is allowed only if all addresses are
// loopback addresses or config.TrustNetwork is set.
func loadIdentity(config Config) (*identity, error) {
	if config.Certificate != "" {
		return loadCertificates(config)
	}
	addresses := append([]string{config.Address}, config.Seeds...)
	for _, address := range addresses {
		if !config.TrustNetwork && !isLoopback(address) {
			return nil, ErrIdentity.New("address %s is not loopback and no certificate is set; set certificate, key and authority in [peer]", address)
		}
	}
	certificate, err := selfSigned()
	if err != nil {
		return nil, err
	}
	return &identity{certificate: certificate, trustAny: config.TrustNetwork,
		resetKey: sha256.Sum256([]byte("loopback " + config.Address))}, nil
}

func loadCertificates(config Config) (*identity, error) {
	certificate, err := tls.LoadX509KeyPair(config.Certificate, config.Key)
	if err != nil {
		return nil, ErrIdentity.Wrap(err, "certificate %s or key %s can not be read; check [peer] certificate and key", config.Certificate, config.Key)
	}
	pem, err := os.ReadFile(config.Authority)
	if err != nil {
		return nil, ErrIdentity.Wrap(err, "authority %s can not be read; check [peer] authority", config.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrIdentity.New("authority %s holds no PEM certificate; check [peer] authority", config.Authority)
	}
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return nil, ErrIdentity.Wrap(err, "key %s can not be used; use an ECDSA, Ed25519 or RSA key", config.Key)
	}
	return &identity{
		certificate: certificate, authority: pool,
		resetKey: sha256.Sum256(append([]byte("citrongate stateless reset "), key...)),
	}, nil
}

func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	now := time.Now()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(10 * 365 * 24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// tlsConfig requires a certificate from the peer and verifies it against the
// authority. Host names are not verified, since instances are addressed by IP
// address; verifyAddress checks the address.
func (i *identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.certificate},
		NextProtos:         []string{alpnProtocol},
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection verifies instead, on both sides alike
		VerifyConnection:   func(s tls.ConnectionState) error { return i.verify(s.PeerCertificates) },
	}
}

// verify checks a peer's certificate chain against the authority. Without an
// authority it requires only that there is a certificate.
func (i *identity) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return ErrPeerRejected.New("the peer sent no certificate; set certificate and key in its [peer]")
	}
	if i.authority == nil {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: i.authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return ErrPeerRejected.Wrap(err, "the peer's certificate is not signed by the authority; use the same authority for all instances")
	}
	return nil
}

// verifyAddress accepts a connection only from an IP address that the peer's
// certificate names, if it names any. Without an authority it accepts only
// loopback addresses, or any address if trustAny is set.
func (i *identity) verifyAddress(conn *quic.Conn) error {
	remote, ok := conn.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return ErrPeerRejected.New("the peer has no UDP address")
	}
	if i.authority == nil {
		if !i.trustAny && !remote.IP.IsLoopback() {
			return ErrPeerRejected.New("%v is not loopback and no authority is set; set certificate, key and authority in [peer]", remote)
		}
		return nil
	}
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 || len(chain[0].IPAddresses) == 0 {
		return nil
	}
	for _, ip := range chain[0].IPAddresses {
		if ip.Equal(remote.IP) {
			return nil
		}
	}
	return ErrPeerRejected.New("the certificate of %v is for other addresses; issue one with its IP address", remote)
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
