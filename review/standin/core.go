package main

import (
	"syscall"
	"time"
)

// readBack reports whether the newest acknowledged config can be read back at the end:
// the operator asks repeatedly, for longer than the pages' bounds ask for.
func readBack(s *system, o *operator) bool {
	c := newCaller(s)
	for _, n := range []int{1, 2} {
		c.send(n, "/safe/x")
	}
	version := o.read(20 * time.Second)
	s.rec.note("read back: version %d; the newest acknowledged is %d", version, o.acked)
	return version >= o.acked
}

// replacedSoon replaces a machine of the core by an empty one at another address that
// starts half a second after it.
func replacedSoon(s *system, trouble bool) (bool, error) {
	o := newOperator(s)
	stop, err := begin(s, o)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.remove(3, syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		s.seeds = []int{1, 2, 4}
		for _, n := range []int{1, 2, 4} {
			if err := s.writeSettings(n, false); err != nil {
				return false, err
			}
		}
		if err := s.start(4); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * (catchUp + contact))
	o.replace(3, 20*time.Second)
	return readBack(s, o), nil
}

// replacedAndLost replaces a machine of the core: the new one starts first and has its time to
// catch up, then the old one is removed for good. A second later another machine of the core
// loses its disk, and starts again at its address.
func replacedAndLost(s *system, trouble bool) (bool, error) {
	o := newOperator(s)
	stop, err := begin(s, o)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	s.seeds = []int{1, 2, 4}
	if err := s.writeSettings(4, false); err != nil {
		return false, err
	}
	if err := s.start(4); err != nil {
		return false, err
	}
	time.Sleep(catchUp + contact)
	for _, n := range []int{1, 2} {
		if err := s.writeSettings(n, false); err != nil {
			return false, err
		}
	}
	if !o.replace(3, 5*time.Second) {
		s.rec.note("config 3 isn't acknowledged before the disk is lost")
	}
	s.remove(3, syscall.SIGKILL)
	time.Sleep(time.Second)
	if trouble {
		s.remove(2, syscall.SIGKILL)
		if err := s.wipe(2); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if err := s.start(2); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * (catchUp + contact))
	o.replace(4, 20*time.Second)
	return readBack(s, o), nil
}
