// Package pki makes and reads the certificates by which instances and operators of a store know each other: one
// authority of its own, whose key stays with the operators, and a certificate for each name.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Role is what a certificate's owner may do.
type Role string

const (
	Instance Role = "instance" // a member of the store, or one that wants to be
	Operator Role = "operator" // reads, writes, and changes members
	Observer Role = "observer" // reads
)

// ErrRole says that a certificate has no role that this program knows.
var ErrRole = errors.New("store: the certificate names no role")

const authorityFile, authorityKey = "authority.pem", "authority-key.pem"

// Found makes an authority in a directory: authority.pem and authority-key.pem.
func Found(dir, cluster string, now time.Time, life time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	cert := &x509.Certificate{Subject: pkix.Name{CommonName: "cloverrock " + cluster, Organization: []string{cluster}},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(life), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	return write(dir, "authority", cert, cert, key, key)
}

// Issue makes NAME.pem and NAME-key.pem in a directory, signed by the authority there.
func Issue(dir, name string, role Role, now time.Time, life time.Duration) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKey))
	if err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	parent, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	signer, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("store: authority: the key is of another kind than this program makes")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	cert := &x509.Certificate{Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(life), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	return write(dir, name, cert, parent, key, signer)
}

func write(dir, name string, cert, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	var err error
	if cert.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	for _, f := range []struct {
		name, kind string
		der        []byte
		mode       os.FileMode
	}{{name + ".pem", "CERTIFICATE", der, 0o644}, {name + "-key.pem", "PRIVATE KEY", secret, 0o600}} {
		// O_EXCL: a key that is there is not replaced by a slip.
		w, err := os.OpenFile(filepath.Join(dir, f.name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, f.mode)
		if err != nil {
			return fmt.Errorf("store: certificate of %s: %w", name, err)
		}
		err = pem.Encode(w, &pem.Block{Type: f.kind, Bytes: f.der})
		if closed := w.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return fmt.Errorf("store: certificate of %s: %w", name, err)
		}
	}
	return nil
}

// Files name a certificate, its key, and the authority.
type Files struct{ Certificate, Key, Authority string }

// Load reads them into a configuration for both ends of a connection: each shows its certificate, and takes only
// one that the authority has signed. Names are checked by the caller, since instances are known by name, not by host.
func Load(f Files) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("store: certificate %s: %w", f.Certificate, err)
	}
	b, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("store: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("store: authority %s: no certificate in it", f.Authority)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, InsecureSkipVerify: true, // by VerifyConnection instead: no host names
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("store: the peer shows no certificate")
			}
			among := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				among.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: among,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return err
		}}, nil
}

// Owner tells whose certificate the other end of a connection has shown.
func Owner(s tls.ConnectionState) (name string, role Role, err error) {
	if len(s.PeerCertificates) == 0 {
		return "", "", ErrRole
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return subject.CommonName, "", ErrRole
	}
	switch role = Role(subject.OrganizationalUnit[0]); role {
	case Instance, Operator, Observer:
		return subject.CommonName, role, nil
	}
	return subject.CommonName, "", ErrRole
}
