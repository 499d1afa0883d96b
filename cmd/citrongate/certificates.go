package main

import (
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// clockSkew is how far before its creation a certificate is already valid, for
// instances whose clocks are slow.
const clockSkew = 5 * time.Minute

// authority is a certificate authority that signs certificates of instances.
type authority struct {
	certificate *x509.Certificate
	key         crypto.PrivateKey
}

func runCertificates(_ context.Context, command *cli.Command) error {
	dir, valid := command.String("dir"), command.Duration("valid")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, err := openAuthority(dir, valid)
	if err != nil {
		return err
	}
	for _, instance := range command.StringSlice("instance") {
		name, address, _ := strings.Cut(instance, "=")
		ip := net.ParseIP(address)
		if name == "" || ip == nil {
			return newUsageError("instance %q is not of the form NAME=IP", instance)
		}
		if err := ca.issue(dir, name, ip, valid); err != nil {
			return fmt.Errorf("%s: %w; those before it were written, so name only the rest", name, err)
		}
		fmt.Fprintf(writer(command), "%s: certificate = %s, key = %s, authority = %s\n", name,
			filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "authority.pem"))
	}
	return nil
}

// openAuthority reads the authority in the directory, or creates one if there is
// none.
func openAuthority(dir string, valid time.Duration) (*authority, error) {
	certPath, keyPath := filepath.Join(dir, "authority.pem"), filepath.Join(dir, "authority.key")
	if _, err := os.Stat(certPath); errors.Is(err, fs.ErrNotExist) {
		template, key, err := newTemplate("citrongate trial authority", valid)
		if err != nil {
			return nil, err
		}
		template.IsCA, template.BasicConstraintsValid = true, true
		template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
		if err := writePair(certPath, keyPath, template, template, key, key); err != nil {
			return nil, err
		}
	}
	pair, err := tls.LoadX509KeyPair(certPath, keyPath)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(pair.Certificate[0])
	return &authority{certificate: certificate, key: pair.PrivateKey}, err
}

// issue creates a key and a certificate for one instance and writes them to the
// directory.
func (a *authority) issue(dir, name string, ip net.IP, valid time.Duration) error {
	template, key, err := newTemplate(name, valid)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames, template.IPAddresses = []string{name}, []net.IP{ip}
	return writePair(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), template, a.certificate, key, a.key)
}

// newTemplate returns a new key and the fields that all certificates have.
func newTemplate(name string, valid time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid),
	}, key, nil
}

// writePair signs a certificate and writes it and its key. The certificate is written
// last, so that a key without one is left over from a run that broke off and is
// replaced. It fails if the certificate exists.
func writePair(certPath, keyPath string, template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.PrivateKey) error {
	if _, err := os.Stat(certPath); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s exists; remove it and its key to issue another", certPath)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(keyPath, "PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEM(certPath, "CERTIFICATE", der, 0o644)
}

// writePEM writes a PEM file completely or not at all.
func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	err = errors.Join(file.Chmod(mode), pem.Encode(file, &pem.Block{Type: kind, Bytes: der}), file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(file.Name()))
	}
	return nil
}
