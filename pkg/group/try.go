package group

import (
	"fmt"
	"path/filepath"
	"runtime"
)

// PanicError is a panic that Try has ended.
type PanicError struct {
	Value any
	// At is file and line where it came about.
	At string
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic at %s: %v", e.At, e.Value)
}

// Try runs f, and returns a panic of it as a *PanicError. It is for goroutines that
// serve one request: as in the HTTP server's own, one request that nobody thought of
// mustn't end the process, since its caller tries the next host with it.
func Try(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{
				Value: v,
				At:    panicLocation(),
			}
		}
	}()
	f()
	return nil
}

// maxFrames is how deep the place of a panic is looked for: it stands a few calls of
// the runtime above the deferred one.
const maxFrames = 16

// panicLocation returns where the panic that is being recovered from came about.
func panicLocation() string {
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	inPanic := false
	for {
		frame, more := frames.Next()
		switch {
		case frame.Function == "runtime.gopanic":
			inPanic = true
		case inPanic && !inRuntime(frame.Function):
			return fmt.Sprintf("%s:%d", filepath.Base(frame.File), frame.Line)
		}
		if !more {
			return "?"
		}
	}
}

// inRuntime reports whether a function is the runtime's, as for a nil dereference.
func inRuntime(function string) bool {
	return len(function) > len("runtime.") && function[:len("runtime.")] == "runtime."
}
