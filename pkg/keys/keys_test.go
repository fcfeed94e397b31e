package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/keys"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return authority{
		cert: cert,
		key:  key,
	}
}

// issue writes a certificate for an IP address, valid until the given time, its
// key and the authority's certificate to files.
func (a authority) issue(files keys.Files, ip string, until time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "host"},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     until,
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", raw)
	write(files.Authority, "CERTIFICATE", a.cert.Raw)
}

func write(file, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
}

func newFiles() keys.Files {
	dir := GinkgoT().TempDir()
	return keys.Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

// withServer calls f with the address of a server that uses files.
func withServer(files keys.Files, f func(address string)) {
	p, err := keys.New(files, timer.NewSystem())
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler:  http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	done := make(chan struct{})
	defer func() {
		_ = server.Close()
		<-done
	}()
	serve(server, keys.Listener(l, p), done)
	f(l.Addr().String())
}

// call sends one request on a new connection.
func call(p *keys.Credentials, address string) error {
	client := &http.Client{
		Transport: keys.NewTransport(&http.Transport{DisableKeepAlives: true}, p),
		Timeout:   10 * time.Second,
	}
	resp, err := client.Get("http://" + address + "/")
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

var _ = Describe("mutual TLS", func() {
	later := time.Now().Add(time.Hour)

	It("accepts clients with a valid certificate of the same authority only", func() {
		ours, foreign := newAuthority(), newAuthority()
		server := newFiles()
		ours.issue(server, "127.0.0.1", later)
		cases := []struct {
			name  string
			issue func(f keys.Files)
			good  bool
		}{
			{name: "the same authority", issue: func(f keys.Files) { ours.issue(f, "127.0.0.1", later) }, good: true},
			{name: "expired", issue: func(f keys.Files) { ours.issue(f, "127.0.0.1", time.Now().Add(-time.Minute)) }},
			{name: "foreign", issue: func(f keys.Files) { foreign.issue(f, "127.0.0.1", later) }},
			{name: "foreign, but trusts ours", issue: func(f keys.Files) {
				foreign.issue(f, "127.0.0.1", later)
				write(f.Authority, "CERTIFICATE", ours.cert.Raw)
			}},
		}
		withServer(server, func(address string) {
			for _, c := range cases {
				files := newFiles()
				c.issue(files)
				p, err := keys.New(files, timer.NewSystem())
				Expect(err).NotTo(HaveOccurred())
				Expect(call(p, address) == nil).To(Equal(c.good), c.name)
			}
			resp, err := http.Get("http://" + address + "/")
			if err == nil {
				_ = resp.Body.Close()
				Expect(resp.StatusCode).To(Equal(http.StatusBadRequest), "no TLS at all")
			}
		})
	})

	It("rejects a server whose certificate is for another address or expired", func() {
		ours := newAuthority()
		client := newFiles()
		ours.issue(client, "127.0.0.1", later)
		p, err := keys.New(client, timer.NewSystem())
		Expect(err).NotTo(HaveOccurred())
		other, expired := newFiles(), newFiles()
		ours.issue(other, "127.0.0.9", later)
		ours.issue(expired, "127.0.0.1", time.Now().Add(-time.Minute))
		for _, files := range []keys.Files{other, expired} {
			withServer(files, func(address string) {
				Expect(call(p, address)).NotTo(Succeed())
			})
		}
	})

	It("uses changed files without a restart, and keeps the old ones if they are invalid", func() {
		ours := newAuthority()
		server, client := newFiles(), newFiles()
		ours.issue(server, "127.0.0.1", later)
		ours.issue(client, "127.0.0.1", time.Now().Add(-time.Minute))
		svc := timer.NewManual(time.Now())
		p, err := keys.New(client, svc)
		Expect(err).NotTo(HaveOccurred())
		withServer(server, func(address string) {
			Expect(call(p, address)).NotTo(Succeed())
			ours.issue(client, "127.0.0.1", later)
			svc.Advance(2 * time.Second)
			Expect(call(p, address)).To(Succeed())
			Expect(os.WriteFile(client.Certificate, []byte("x"), 0o600)).To(Succeed())
			touch(client.Certificate)
			svc.Advance(2 * time.Second)
			Expect(call(p, address)).To(Succeed())
			Expect(p.Err()).To(MatchError(ContainSubstring("certificate")))
		})
	})

	It("names the file that can't be read", func() {
		_, err := keys.New(newFiles(), timer.NewSystem())
		Expect(err).To(MatchError(ContainSubstring("cert.pem")))
	})
})

// touch gives a file a modification time that differs from the one before.
func touch(file string) {
	at := time.Now().Add(3 * time.Second)
	Expect(os.Chtimes(file, at, at)).To(Succeed())
}

func serve(server *http.Server, l net.Listener, done chan struct{}) {
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		_ = server.Serve(l) // returns when the server is closed
	})
}
