//go:build !linux

package timer

import "time"

var started = time.Now()

// bootTime returns the time since the process started. Whether it includes
// suspension depends on the operating system.
func bootTime() time.Duration {
	return time.Since(started)
}
