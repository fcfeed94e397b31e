// Command larchwinch-load sends load and checks every answer.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/loadcmd"
)

func main() {
	os.Exit(cmdutil.Main(loadcmd.New(os.Stdout)))
}
