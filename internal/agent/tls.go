package agent

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// TLS names the files of a side: the CA that the other side's certificate has to be from, and its own certificate and key,
// all in PEM.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

const tlsEvery = time.Second // files are looked at again, at most so often

// reloader holds what TLS files say, and reads them again when they have changed. Files that cannot be used change nothing.
type reloader struct {
	files TLS
	mu    sync.Mutex
	next  time.Time
	stamp [3]time.Time
	cert  *tls.Certificate
	pool  *x509.CertPool
}

func newReloader(files TLS) (*reloader, error) {
	r := &reloader{files: files}
	return r, r.load()
}

func (r *reloader) load() error {
	var stamp [3]time.Time
	for i, path := range []string{r.files.CA, r.files.Cert, r.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		stamp[i] = info.ModTime()
	}
	if r.cert != nil && stamp == r.stamp {
		return nil
	}
	ca, err := os.ReadFile(r.files.CA)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("tls: %s holds no certificate", r.files.CA)
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	r.cert, r.pool, r.stamp = &cert, pool, stamp
	return nil
}

// now gives what the files say now.
func (r *reloader) now() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := time.Now(); t.After(r.next) {
		r.next = t.Add(tlsEvery)
		r.load() // what cannot be read now is tried again
	}
	return r.cert, r.pool
}

// server is the side of an agent: only clients with a certificate from the CA come in.
func (r *reloader) server() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := r.now()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"},
		}, nil
	}
	return base
}

// ClientTLS is the side of a tool. The agent's certificate has to be from the CA and for the name that the tool expects, so
// that no agent passes for another.
func ClientTLS(files TLS, agent string) (*tls.Config, error) {
	r, err := newReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}, ServerName: agent, InsecureSkipVerify: true, // verified below, by a CA that may change
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.now()
			return cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("tls: the agent has no certificate")
			}
			_, pool := r.now()
			options := x509.VerifyOptions{DNSName: agent, Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			for _, c := range cs.PeerCertificates[1:] {
				options.Intermediates.AddCert(c)
			}
			_, err := cs.PeerCertificates[0].Verify(options)
			return err
		},
	}, nil
}
