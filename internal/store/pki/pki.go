// Package pki creates and loads the certificates by which instances and operators of a store authenticate each other.
// Each store has its own certificate authority, whose private key only the operators keep, and a certificate for each
// name. The role in a certificate determines what its owner may do.
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

// Role determines what a certificate's owner may do. It is stored as the certificate's only organizational unit.
type Role string

// The roles.
const (
	Instance Role = "instance" // a member of the store, or one that may join
	Operator Role = "operator" // may read, write, and change the members
	Observer Role = "observer" // may only read
)

// ErrRole is the error for a certificate without a role, or with an unknown one.
var ErrRole = errors.New("store: the certificate has no role or an unknown one")

const (
	authorityName = "authority"
	fileSuffix    = ".pem"
	keySuffix     = "-key.pem"

	serialBits     = 120       // length of a random serial number
	clockTolerance = time.Hour // a certificate is valid from this long before its creation, since clocks differ
)

// CreateAuthority creates a certificate authority in a directory: authority.pem and authority-key.pem. It returns an error
// if one of these files exists; existing files are not replaced.
func CreateAuthority(dir, cluster string, now time.Time, life time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("store: authority: %w", err)
	}
	cert := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "cloverrock " + cluster, Organization: []string{cluster}},
		NotBefore:             now.Add(-clockTolerance),
		NotAfter:              now.Add(life),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return writePair(dir, authorityName, cert, cert, key, key)
}

// Issue creates NAME.pem and NAME-key.pem in a directory, signed by the authority in the same directory. It returns an
// error if one of these files exists; existing files are not replaced.
func Issue(dir, name string, role Role, now time.Time, life time.Duration) error {
	parent, signer, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	cert := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:   now.Add(-clockTolerance),
		NotAfter:    now.Add(life),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return writePair(dir, name, cert, parent, key, signer)
}

func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	path := filepath.Join(dir, authorityName)
	pair, err := tls.LoadX509KeyPair(path+fileSuffix, path+keySuffix)
	if err != nil {
		return nil, nil, fmt.Errorf("store: authority: %w", err)
	}
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, nil, fmt.Errorf("store: authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("store: authority: the private key is not an ECDSA key")
	}
	return cert, key, nil
}

// writePair signs a certificate and writes it and its key to new files.
func writePair(dir, name string, cert, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	if err := signAndWrite(dir, name, cert, parent, key, signer); err != nil {
		return fmt.Errorf("store: certificate of %s: %w", name, err)
	}
	return nil
}

func signAndWrite(dir, name string, cert, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return err
	}
	cert.SerialNumber = serial
	certDER, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	if err := writePEM(path+fileSuffix, "CERTIFICATE", certDER, 0o644); err != nil {
		return err
	}
	return writePEM(path+keySuffix, "PRIVATE KEY", keyDER, 0o600)
}

// writePEM writes a new file. It fails if the file exists, so that a key is never replaced.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	err = pem.Encode(file, &pem.Block{Type: kind, Bytes: der})
	return errors.Join(err, file.Close())
}

// Files holds the paths of a certificate, its key, and the certificate of the authority.
type Files struct{ Certificate, Key, Authority string }

// LoadTLS returns a mutual TLS configuration for both ends of a connection: each presents its certificate and accepts
// only a peer whose certificate the authority has signed. Certificates contain no host names; the caller checks the name
// and role with Owner.
func LoadTLS(f Files) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("store: certificate %s: %w", f.Certificate, err)
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("store: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("store: authority %s: the file contains no certificate", f.Authority)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{pair},
		MinVersion:         tls.VersionTLS13,
		ClientCAs:          pool,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain; certificates contain no host names
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, pool) },
	}, nil
}

// verify returns an error unless the authority has signed the peer's certificate.
func verify(s tls.ConnectionState, authority *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("store: the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// Owner returns the name and role in the peer's certificate of an established connection. The error is ErrRole if there
// is no valid role.
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
