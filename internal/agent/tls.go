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

// TLS names the PEM files of one side of a connection: the CA that must have issued the peer's
// certificate, and its own certificate and key.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

const tlsReloadInterval = time.Second // between two checks for changed files

// tlsReloader holds the contents of TLS files, and reads them again when they have changed. While the
// files are unusable, the previous contents stay in use.
type tlsReloader struct {
	files    TLS
	mu       sync.Mutex
	reloadAt time.Time
	modTimes [3]time.Time
	cert     *tls.Certificate
	caPool   *x509.CertPool
}

func newTLSReloader(files TLS) (*tlsReloader, error) {
	r := &tlsReloader{files: files}
	return r, r.load()
}

func (r *tlsReloader) load() error {
	var stamp [3]time.Time
	for i, path := range []string{r.files.CA, r.files.Cert, r.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		stamp[i] = info.ModTime()
	}
	if r.cert != nil && stamp == r.modTimes {
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
	r.cert, r.caPool, r.modTimes = &cert, pool, stamp
	return nil
}

// current returns the certificate and the CA pool. It first reloads changed files, at most once per
// tlsReloadInterval.
func (r *tlsReloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := time.Now(); t.After(r.reloadAt) {
		r.reloadAt = t.Add(tlsReloadInterval)
		_ = r.load() // after an error the previous files stay in use, until the next reload
	}
	return r.cert, r.caPool
}

// serverConfig returns the configuration of an agent, which accepts only clients with a certificate that
// the CA has issued.
func (r *tlsReloader) serverConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := r.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"},
		}, nil
	}
	return base
}

// ClientTLS returns the configuration of a tool. The agent's certificate must be issued by the CA for
// the expected name, so that no agent can impersonate another.
func ClientTLS(files TLS, agent string) (*tls.Config, error) {
	r, err := newTLSReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		ServerName:         agent,
		InsecureSkipVerify: true, // verified below, by a CA that may change
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("tls: the agent has no certificate")
			}
			_, pool := r.current()
			options := x509.VerifyOptions{
				DNSName:       agent,
				Roots:         pool,
				Intermediates: x509.NewCertPool(),
				KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			}
			for _, c := range cs.PeerCertificates[1:] {
				options.Intermediates.AddCert(c)
			}
			_, err := cs.PeerCertificates[0].Verify(options)
			return err
		},
	}, nil
}
