package group

import (
	"fmt"
	"path/filepath"
	"runtime"
)

// PanicError is a recovered panic.
type PanicError struct {
	Value any
	// At is the file and line of the panic, or "?" if it wasn't found.
	At string
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic at %s: %v", e.At, e.Value)
}

// CatchPanic runs f and returns a panic in it as a *PanicError. It is for goroutines that
// serve one request: as in net/http's server, one unexpected request must not end the
// process. Its caller would retry it on the next host and end that one too.
func CatchPanic(f func()) (err error) {
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

// maxFrames is how many stack frames are searched for the panic's location, which is
// a few runtime frames above the deferred function.
const maxFrames = 16

// panicLocation returns the file and line of the panic that is being recovered.
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

// inRuntime reports whether a function belongs to package runtime. Its frames come
// first when the runtime itself panics, such as on a nil dereference.
func inRuntime(function string) bool {
	return len(function) > len("runtime.") && function[:len("runtime.")] == "runtime."
}
