// Command larchwinch-fleet runs a host of a deployment whose endpoints
// announce themselves.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/fleetcmd"
)

func main() {
	os.Exit(cmdutil.Main(fleetcmd.New()))
}
