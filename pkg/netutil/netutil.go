// Package netutil makes the HTTP clients and servers that every program uses:
// they dial from and listen on the host's own IP number, so that several hosts
// can share one machine.
package netutil

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
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

// NewClient returns a client that dials from the IP number of address.
func NewClient(address string) (*http.Client, error) {
	return newClient(address, false)
}

// NewOnceClient returns a client that makes a connection for each request, so
// that a failure to connect means for certain that nothing was sent.
func NewOnceClient(address string) (*http.Client, error) {
	return newClient(address, true)
}

func newClient(address string, once bool) (*http.Client, error) {
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
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConns:        idleConns,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   once,
		},
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

// Listen opens address at once, so that a port that is taken is an error
// before anything else starts.
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

// Serve answers requests until Shutdown or Close.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown takes no new connections and waits for requests to end.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close ends every connection at once.
func (s *Server) Close() {
	_ = s.server.Close() // only the listener's close can fail, and it is gone
}
