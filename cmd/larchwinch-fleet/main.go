// Command larchwinch-fleet runs a host of a deployment whose endpoints
// announce themselves.
package main

import (
	"os"
	"time"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/fleetcmd"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/reachability"
)

func main() {
	os.Exit(cmdutil.Main(fleetcmd.New(newDialer)))
}

func newDialer(ip string, timeout time.Duration) reachability.NetDialer {
	return netutil.Dialer(ip, timeout)
}
