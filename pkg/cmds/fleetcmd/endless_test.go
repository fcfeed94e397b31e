package fleetcmd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countingDialer opens connections whose bytes it counts as they are read.
type countingDialer struct {
	net.Dialer
	read   atomic.Int64
	closed atomic.Int64
}

type countingConn struct {
	net.Conn
	d *countingDialer
}

// DialContext implements platform.Dialer.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, d: d}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.d.read.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.d.closed.Add(1)
	return c.Conn.Close()
}

// endlessEndpoint answers each request with begin, and then with more again and again, until the
// connection is closed.
type endlessEndpoint struct {
	begin, more string
	pause       time.Duration // between two of more
	address     string
}

// listen serves until the spec ends.
func (e *endlessEndpoint) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e.address = l.Addr().String()
	g := group.New(context.Background())
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		g.Stop()
	})
	g.Go(func(context.Context) {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			g.Go(func(ctx context.Context) { e.serve(ctx, c) })
		}
	})
}

func (e *endlessEndpoint) serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }() // whatever was sent
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text := e.begin
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		text = e.more
		time.Sleep(e.pause)
	}
}

var _ = Describe("bytes of an endpoint that don't end", func() {
	const (
		head = "HTTP/1.1 200 OK\r\n"
		// maxRead is what may be read of one: the limit of the head or of a reply, and a buffer.
		maxRead = 256 << 10
		timeout = 200 * time.Millisecond
	)
	long := strings.Repeat("x", 4096)
	type call func(ctx context.Context, e *platform.EndpointClient, address string) error
	send := func(repeatable bool) call {
		return func(ctx context.Context, e *platform.EndpointClient, address string) error {
			a, err := e.Send(ctx, &gateway.Call{
				Request:    &gateway.Request{ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("b"), Header: http.Header{}},
				Address:    address,
				Timeout:    timeout,
				Repeatable: repeatable,
			})
			if err != nil {
				return err
			}
			defer func() { _ = a.Body.Close() }() // the spec counts what was read
			_, err = io.Copy(io.Discard, io.LimitReader(a.Body, 100<<10))
			if err == nil {
				err = io.ErrShortBuffer // the reader stops at its own limit
			}
			return err
		}
	}
	calls := []struct {
		name   string
		pauses []time.Duration // between two pieces of what is sent
		call   call
	}{
		{"a request that must not be repeated", []time.Duration{0, 50 * time.Millisecond}, send(false)},
		{"a request on a kept connection", []time.Duration{0}, send(true)},
		{"a status query", []time.Duration{0}, func(ctx context.Context, e *platform.EndpointClient, address string) error {
			_, err := e.Report(ctx, "", address)
			return err
		}},
		{"a stall query", []time.Duration{0}, func(ctx context.Context, e *platform.EndpointClient, address string) error {
			_, err := e.QueryStalls(ctx, address)
			return err
		}},
		{"an order", []time.Duration{0}, func(ctx context.Context, e *platform.EndpointClient, address string) error {
			outcome, err := e.Place(ctx, placement.Order{ID: "i"}, address, 0)
			if err == nil && outcome == placement.Accepted {
				return io.ErrShortBuffer // the status says all
			}
			return err
		}},
	}
	for _, one := range []struct {
		name, begin, more string
		framing           int64 // bytes of framing for each byte; 0 if there are few
	}{
		{"in the status line", "HTTP/1.1 200 ", long, 0},
		{"before any status line", "", long, 0},
		{"in one header line", head + "X: ", long, 0},
		{"in header lines", head, "X: " + long + "\r\n", 0},
		{"in empty header lines of one letter", head, "X:\r\n", 0},
		{"in informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 0},
		{"in a body without a length", head + "\r\n", long, 0},
		{"in a body of a length", head + "Content-Length: 1000000000000\r\n\r\n", long, 0},
		{"in a chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", long, 0},
		{"in the line of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n1;a=", long, 0},
		{"in chunks of a byte", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5},
		{"in trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + long + "\r\n", 0},
	} {
		for _, c := range calls {
			// Guards against a head without end, of which net/http reads 10 MB, from each endpoint.
			It("end the call early, and its connection is closed: "+one.name+", "+c.name, func() {
				for _, pause := range c.pauses {
					server := &endlessEndpoint{begin: one.begin, more: one.more, pause: pause}
					server.listen()
					d := &countingDialer{}
					e := platform.NewEndpointClient(platform.Clients{
						Requests: endpointClient(d, 0),
						Streams:  endpointClient(d, streamIdleConns),
						Reports:  endpointClient(d, reportIdleConns),
					})
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					began := time.Now()
					err := c.call(ctx, e, server.address)
					cancel()
					Expect(err).To(HaveOccurred())
					Expect(time.Since(began)).To(BeNumerically("<", 5*timeout))
					Eventually(d.closed.Load, "2s", "5ms").Should(BeNumerically(">=", 1))
					Expect(d.read.Load()).To(BeNumerically("<", maxRead*(1+one.framing)))
				}
			})
		}
	}
})
