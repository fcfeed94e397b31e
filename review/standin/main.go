// Command standin plays one case of the review: it starts the project's programs and the
// stand-ins of the platform, the servers and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario plays a case. It returns whether the rule held, or an error if it couldn't run.
type scenario func(s *system, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"replaced-soon":     replacedSoon,
	"replaced-and-lost": replacedAndLost,
	"other-writer":      otherWriter,
	"hung-channels":     hungChannels,
}

func main() {
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays the scenario of that name, and writes its record to the folder.
func run(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.stop()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	ok, err := scenarios[name](s, trouble)
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Println(err)
		return failed
	case ok:
		rec.note("the rule held")
		fmt.Println("the rule held")
		return held
	}
	rec.note("the rule was broken")
	fmt.Println("the rule was broken")
	return broken
}

// begin starts the three first machines and two servers, has the first config
// acknowledged, and waits until requests are served.
func begin(s *system, o *operator) (func(), error) {
	for _, n := range []int{1, 2, 3} {
		if err := s.writeSettings(n, true); err != nil {
			return nil, err
		}
		if err := s.start(n); err != nil {
			return nil, err
		}
	}
	var servers []*server
	for n := 1; n <= 2; n++ {
		v, err := startServer(s, service, n, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		servers = append(servers, v)
	}
	stop := func() {
		for _, v := range servers {
			v.stop()
		}
	}
	if !o.replace(1, 15*time.Second) {
		return stop, fmt.Errorf("the first config isn't acknowledged")
	}
	for _, n := range []int{1, 2, 3} {
		if err := s.writeSettings(n, false); err != nil {
			return stop, err
		}
	}
	c := newCaller(s)
	for began := time.Now(); ; {
		if _, status := c.send(1, "/safe/x"); status == 200 {
			break
		}
		if time.Since(began) > 15*time.Second {
			return stop, fmt.Errorf("no request is served at first")
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !o.replace(2, 5*time.Second) {
		return stop, fmt.Errorf("the second config isn't acknowledged")
	}
	return stop, nil
}
