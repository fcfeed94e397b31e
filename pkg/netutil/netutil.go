// Package netutil creates the HTTP clients and servers that every program uses.
// They dial from and listen on the host's own IP address, so that several hosts
// can run on one computer.
package netutil

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/keys"
)

const (
	dialTimeout       = time.Second
	keepAlive         = 5 * time.Second
	idleConns         = 4096
	idleConnsPerHost  = 512
	idleTimeout       = 60 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// NewClient returns a client that dials from the IP address in address.
func NewClient(address string) (*http.Client, error) {
	return newClient(address, false, nil)
}

// NewUnpooledClient returns a client that makes a new connection for each request, so
// that a failure to connect proves that nothing was sent.
func NewUnpooledClient(address string) (*http.Client, error) {
	return newClient(address, true, nil)
}

// NewRPCClient returns a client for calls to larchwinch's own processes. With
// credentials it uses mutual TLS, with nil plain HTTP.
func NewRPCClient(address string, pair *keys.Credentials) (*http.Client, error) {
	return newClient(address, false, pair)
}

// ListenRPC is Listen for calls from larchwinch's own processes. With credentials
// the server uses mutual TLS, with nil plain HTTP.
func ListenRPC(address string, h http.Handler, pair *keys.Credentials) (*Server, error) {
	s, err := Listen(address, h)
	if err != nil || pair == nil {
		return s, err
	}
	s.listener = keys.Listener(s.listener, pair)
	return s, nil
}

func newClient(address string, once bool, pair *keys.Credentials) (*http.Client, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "own address")
	}
	d := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlive,
		LocalAddr: &net.TCPAddr{
			IP: ap.Addr().AsSlice(),
		},
	}
	plain := &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      once,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	transport := http.RoundTripper(plain)
	if pair != nil {
		transport = keys.NewTransport(plain, pair)
	}
	return &http.Client{
		Transport: CheckAnswers(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}, nil
}

// Server is an HTTP server on one address.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens address before it returns, so that a port that is in use is
// reported before anything else starts.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Server{
		listener: l,
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve handles requests until Shutdown or Close.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until all requests have ended or
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close closes every connection at once.
func (s *Server) Close() {
	_ = s.server.Close() // only closing the listener can fail, and it isn't used any more
}
