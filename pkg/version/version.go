// Package version names the release that a program was built from.
package version

import "runtime"

// Number is the release, set by the linker for released programs.
var Number = "0.1.0-dev"

// String returns the release and the Go version it was built with.
func String() string {
	return Number + " (" + runtime.Version() + ")"
}
