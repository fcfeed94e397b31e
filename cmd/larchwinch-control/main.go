// Command larchwinch-control runs a replica of larchwinch's own state.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/controlcmd"
)

func main() {
	os.Exit(cmdutil.Main(controlcmd.New()))
}
