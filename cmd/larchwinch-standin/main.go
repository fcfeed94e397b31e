// Command larchwinch-standin runs fakes of model engines, of plain services and of
// the platform's host list.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/standincmd"
)

func main() {
	os.Exit(cmdutil.Main(standincmd.New()))
}
