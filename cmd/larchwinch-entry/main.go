// Command larchwinch-entry serves callers on an entry host.
package main

import (
	"os"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/cmds/entrycmd"
)

func main() {
	os.Exit(cmdutil.Main(entrycmd.New()))
}
