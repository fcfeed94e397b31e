// Package keys implements mutual TLS between the system's own processes: both
// sides present a certificate of the same authority, and a client also verifies
// that the server's certificate is for the address that it connects to.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Files names the PEM files of one process.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Set reports whether any file is set.
func (f Files) Set() bool {
	return f.Certificate != "" || f.Key != "" || f.Authority != ""
}

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Credentials is a certificate with its key and the authority's certificates. When the
// files change, the next connection uses them, without a restart. If they can't be
// read, the old ones stay in use. It is safe for concurrent use.
type Credentials struct {
	files Files
	svc   timer.Service

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
	err       error
}

// New reads the files.
func New(files Files, svc timer.Service) (*Credentials, error) {
	p := &Credentials{
		files: files,
		svc:   svc,
	}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Err returns the error of the last read of changed files, or nil.
func (p *Credentials) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	text, err := os.ReadFile(p.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.Errorf("authority: %s contains no certificate", p.files.Authority)
	}
	p.cert = &cert
	p.pool = pool
	return nil
}

// current returns the certificate and the authorities in use, after reading the
// files again if they changed.
func (p *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.svc.Now()
	if now.Sub(p.checkedAt) < checkInterval {
		return p.cert, p.pool
	}
	p.checkedAt = now
	if stamp := p.fileModTimes(); stamp != p.modTimes {
		p.modTimes = stamp
		p.err = p.load()
	}
	return p.cert, p.pool
}

func (p *Credentials) fileModTimes() [3]time.Time {
	var s [3]time.Time
	for i, name := range []string{p.files.Certificate, p.files.Key, p.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			s[i] = info.ModTime()
		}
	}
	return s
}

// ServerConfig returns the TLS configuration of a listener.
func (p *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of a connection to host, an IP
// address or a name.
func (p *Credentials) clientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// crypto/tls can't reload RootCAs, so verify does the checks that it would
		// do. It needs host, as ConnectionState holds no server name if that is an
		// IP address.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			return p.verify(c, host)
		},
	}
}

func (p *Credentials) verify(c tls.ConnectionState, host string) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	_, pool := p.current()
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		DNSName:       host,
		CurrentTime:   p.svc.Now(),
	})
	return err
}

// Transport sends plain HTTP requests over TLS, so that callers need not know
// whether TLS is configured.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends its requests through base, whose
// DialTLSContext it sets.
func NewTransport(base *http.Transport, p *Credentials) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure := tls.Client(conn, p.clientConfig(host))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secure, nil
	}
	return &Transport{
		base: base,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	secure := r.Clone(r.Context())
	secure.URL.Scheme = "https"
	return t.base.RoundTrip(secure)
}

// Listener returns l with TLS.
func Listener(l net.Listener, p *Credentials) net.Listener {
	return tls.NewListener(l, p.ServerConfig())
}
