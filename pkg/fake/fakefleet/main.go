// Command fakefleet is larchwinch-fleet with links to endpoints that a test can cut. The
// file DIR/link-IP holds the state of the links of the host with that IP number; DIR is the
// value of FAKEFLEET_DIR.
package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/fleetcmd"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/reachability"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

func main() {
	os.Exit(cmdutil.Main(fleetcmd.New(newDialer)))
}

// newDialer returns a dialer whose connections fail as the links' state says.
func newDialer(ip string, timeout time.Duration) reachability.NetDialer {
	l := &links{
		file:  filepath.Join(os.Getenv("FAKEFLEET_DIR"), "link-"+ip),
		conns: map[*conn]bool{},
	}
	group.New(context.Background()).Go(func(ctx context.Context) {
		timer.Loop(ctx, timer.NewSystem(), pollInterval, func(time.Time) { l.reload() })
	})
	return &dialer{
		base:    netutil.Dialer(ip, timeout),
		timeout: timeout,
		links:   l,
	}
}

// dialer opens connections over links.
type dialer struct {
	base    *net.Dialer
	timeout time.Duration
	links   *links
}

// DialContext implements reachability.NetDialer.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	if err := d.links.awaitDial(ctx); err != nil {
		return nil, err
	}
	c, err := d.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.links.add(c), nil
}
