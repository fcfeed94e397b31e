// Package cmdutil holds what the programs' commands share: exit codes, signal
// handling and servers in a run group.
package cmdutil

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/keys"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/oklog/run"
	"github.com/spf13/cobra"
)

// The programs' exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1 // the work failed
	ExitUsage      = 2 // the command line or a settings file is wrong
	ExitRefused    = 3 // the request was rejected, and a retry would be too
	ExitRetryLater = 4 // the request was rejected for now; try again later
)

// ExitError carries an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// Usage marks err as an error in the command line or in a settings file.
func Usage(err error) error {
	return &ExitError{
		Code: ExitUsage,
		Err:  err,
	}
}

// Main runs a command, prints its error to standard error and returns the exit
// code.
func Main(cmd *cobra.Command) int {
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return Usage(err)
	})
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// LoadCredentials loads the process's TLS credentials. It returns nil if the settings name none.
func LoadCredentials(files keys.Files) (*keys.Credentials, error) {
	if !files.Set() {
		return nil, nil
	}
	return keys.New(files, timer.NewSystem())
}

// AddServer adds an HTTP server to the run group.
func AddServer(g *run.Group, s *netutil.Server) {
	g.Add(s.Serve, func(error) {
		s.Close()
	})
}

// Listener is one address that a program serves. With credentials it uses mutual
// TLS, without them plain HTTP.
type Listener struct {
	Address     string
	Handler     http.Handler
	Credentials *keys.Credentials
}

// AddListeners opens each address and adds its server to the run group.
func AddListeners(g *run.Group, list []Listener) error {
	for _, l := range list {
		s, err := netutil.ListenRPC(l.Address, l.Handler, l.Credentials)
		if err != nil {
			return err
		}
		AddServer(g, s)
	}
	return nil
}

// AddSignals ends the run group on SIGINT or SIGTERM. It calls before first, whose
// context ends after timeout.
func AddSignals(g *run.Group, timeout time.Duration, before func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM) // before any server of the group serves
	g.Add(func() error {
		defer signal.Stop(signals)
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		drain, stop := context.WithTimeout(ctx, timeout)
		defer stop()
		before(drain)
		return nil
	}, func(error) {
		cancel()
	})
}

// AddLoop adds to the run group a function that runs until its context ends.
func AddLoop(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		return f(ctx)
	}, func(error) {
		cancel()
	})
}
