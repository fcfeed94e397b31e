package reachability

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrUnreachable is returned for a connection that was given up because no endpoint of the
// service accepts this host's connections.
var ErrUnreachable = errors.New("no endpoint of the service is reachable from this host")

// NetDialer opens connections, as *net.Dialer does.
type NetDialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer opens connections to endpoints and tells a monitor how each attempt ends, and what
// the connections carry.
type Dialer struct {
	base    NetDialer
	monitor *Monitor
}

// NewDialer returns a dialer that opens connections by base.
func NewDialer(base NetDialer, m *Monitor) *Dialer {
	return &Dialer{
		base:    base,
		monitor: m,
	}
}

// DialContext implements NetDialer. It fails with ErrUnreachable if the monitor gives the
// connection up.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialCtx, abort := context.WithCancel(ctx)
	defer abort()
	p := d.monitor.begin(address, abort)
	c, err := d.base.DialContext(dialCtx, network, address)
	aborted := dialCtx.Err() != nil && ctx.Err() == nil
	d.monitor.end(p, err, ctx.Err() != nil || aborted)
	if err != nil && aborted {
		return nil, errors.Wrap(ErrUnreachable, address)
	}
	if err != nil {
		return nil, err
	}
	return d.monitor.observe(c, address), nil
}

// resetGrace is how long after a connection is accepted it may be reset for the endpoint to
// count as not reached.
const resetGrace = 10 * time.Millisecond

// Probe is a Connector that opens a connection by a NetDialer and waits a moment for a
// reset: what rejects connections on the way may accept them first.
type Probe struct {
	Dialer NetDialer
}

// Dial implements Connector.
func (p Probe) Dial(ctx context.Context, address string) error {
	c, err := p.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // nothing was sent
	if err := c.SetReadDeadline(time.Now().Add(resetGrace)); err != nil {
		return err
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(syscall.ECONNRESET, address)
	}
	return nil
}
