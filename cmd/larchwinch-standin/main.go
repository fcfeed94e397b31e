// Command larchwinch-standin stands in for model engines, plain services and the platform.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/standincmd"
)

func main() {
	os.Exit(cmdutil.Main(standincmd.New()))
}
