// Command standin plays the cases of the second review: it starts the project's programs as
// processes, and stands in for servers, clients, the operator and the provider.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

// cases are the cases by name. Each returns an error if it couldn't run.
var cases = map[string]func(s *system, trouble bool) error{
	"forgotten-leave":   forgottenLeave,
	"unreadable-report": unreadableReport,
	"named-address":     namedAddress,
	"late-reports":      lateReports,
	"part-bursts":       partBursts,
}

func main() {
	os.Exit(run())
}

// run plays the case named by the first argument. The second is the file to record in.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSystem(rec, root, 2)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0") }()
	select {
	case <-ended:
		err = fmt.Errorf("ended by a signal")
	case err = <-result:
	}
	if err != nil {
		rec.line("the case couldn't run: %v", err)
	}
	rec.end()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", filepath.Clean(s.folder))
	}
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		return failed
	case rec.brokenCount() > 0:
		fmt.Printf("broken %d times; the first: %s\n", rec.brokenCount(), rec.broken[0])
		return broken
	}
	fmt.Println("held")
	return held
}
