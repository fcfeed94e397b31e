// Command larchwinch is the operators' command line.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/opcmd"
)

func main() {
	os.Exit(cmdutil.Main(opcmd.New(os.Stdout)))
}
