// Command baseline starts nbio, quic-go and OpenTelemetry and nothing else. It
// links the same packages as the daemon, so that its resident memory is what the
// libraries use before citrongate has any state.
package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/quic-go/quic-go"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	_ "github.com/citrongate/citrongate/internal/daemon"
)

func main() {
	if err := run(); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func run() error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	if _, err := provider.Meter("baseline").Int64Counter("requests"); err != nil {
		return err
	}
	// Two nbio engines, as in the daemon: one for callers and one for operators.
	for _, handler := range []http.Handler{http.NotFoundHandler(), promhttp.HandlerFor(registry, promhttp.HandlerOpts{})} {
		engine := nbhttp.NewEngine(nbhttp.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, Handler: handler})
		if err := engine.Start(); err != nil {
			return err
		}
		defer engine.Stop()
	}
	certificate, err := selfSigned()
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(&tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"baseline"}, MinVersion: tls.VersionTLS13}, nil)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}

func selfSigned() (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}
