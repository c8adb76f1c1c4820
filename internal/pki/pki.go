// Package pki creates a small certificate authority (CA) for trials, and certificates for agents, operators and tools. It is not
// meant for production, as the key of the CA is stored beside the certificates.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	caLifetime   = 5 * 365 * 24 * time.Hour
	certLifetime = 90 * 24 * time.Hour
)

// Init creates a CA, ca.pem and ca.key, in a directory. It fails if the directory has one already.
func Init(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, "ca.key")); err == nil {
		return fmt.Errorf("directory %s contains a CA already", dir)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := template("milletmast trial CA", nil, caLifetime)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign|x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return err
	}
	return writePair(dir, "ca", der, key)
}

// Agent issues NAME.pem and NAME.key for the agent with this name.
func Agent(dir, name string) error {
	return issue(dir, name, nil, func(t *x509.Certificate) {
		t.DNSNames, t.ExtKeyUsage = []string{name}, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	})
}

// Client issues NAME.pem and NAME.key for an operator or tool with this role.
func Client(dir, name, role string) error {
	return issue(dir, name, []string{role}, func(t *x509.Certificate) {
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	})
}

// template returns an unsigned certificate.
func template(name string, units []string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(valid), // the clocks of hosts may differ
	}, nil
}

// issue creates a key and a certificate that is signed by the CA of the directory.
func issue(dir, name string, units []string, change func(*x509.Certificate)) error {
	if name == "" || name == "ca" || filepath.Base(name) != name {
		return fmt.Errorf("%q is not a valid certificate name: it must be a file name without a directory, and not \"ca\"", name)
	}
	caCert, caKey, err := readCA(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := template(name, units, certLifetime)
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	change(t)
	der, err := x509.CreateCertificate(rand.Reader, t, caCert, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	return writePair(dir, name, der, key)
}

// readCA reads the certificate and the key of the CA.
func readCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	var blocks [2]*pem.Block
	for i, name := range []string{"ca.pem", "ca.key"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, nil, err
		}
		if blocks[i], _ = pem.Decode(text); blocks[i] == nil {
			return nil, nil, fmt.Errorf("%s contains no PEM block", filepath.Join(dir, name))
		}
	}
	cert, err := x509.ParseCertificate(blocks[0].Bytes)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(blocks[1].Bytes)
	if err != nil {
		return nil, nil, err
	}
	private, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("ca.key contains a key of type %T, want *ecdsa.PrivateKey", key)
	}
	return cert, private, nil
}

// writePair writes a certificate and its key as NAME.pem and NAME.key.
func writePair(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	keyText := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
	if err := os.WriteFile(filepath.Join(dir, name+".key"), keyText, 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}
