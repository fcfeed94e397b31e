package replica

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// memberRuns returns the seeds of the random runs; MEMBERS_SEED and MEMBERS_RUNS in the
// environment replace the first one and their number.
func memberRuns() (firstSeed, runs uint64) {
	runs = 12
	for _, one := range []struct {
		name  string
		value *uint64
	}{
		{"MEMBERS_SEED", &firstSeed},
		{"MEMBERS_RUNS", &runs},
	} {
		if text := os.Getenv(one.name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			Expect(err).NotTo(HaveOccurred(), one.name)
			*one.value = n
		}
	}
	return firstSeed, runs
}

// playSeeds plays the seeds on all processors, and returns the failure of the lowest one, or "".
func playSeeds(first, runs uint64, play func(seed uint64) string) string {
	failures := make([]string, runs)
	next := atomic.Uint64{}
	g := group.New(context.Background())
	for range runtime.GOMAXPROCS(0) {
		g.Go(func(context.Context) {
			for i := next.Add(1) - 1; i < runs; i = next.Add(1) - 1 {
				failures[i] = play(first + i)
			}
		})
	}
	g.Wait()
	for i, text := range failures {
		if text != "" {
			return fmt.Sprintf("seed %d: %s", first+uint64(i), text)
		}
	}
	return ""
}

var _ = Describe("the members of the log", func() {
	// Guards against a replica that is gone, or can't be reached yet, and counts for a majority:
	// one more loss that must be borne then leaves the log without a leader for good.
	for _, one := range []struct {
		n, more int
	}{
		{3, 0},
		{3, 1},
		{5, 0},
		{5, 1},
	} {
		It(fmt.Sprintf("bear the tolerated losses again soon after hosts are lost and replaced: %d hosts, %d more", one.n, one.more), func() {
			first, runs := memberRuns()
			Expect(playSeeds(first, runs, func(seed uint64) string {
				s := newMemberSim(seed, one.n, one.more)
				if err := s.play(30 * time.Second); err != nil {
					return fmt.Sprintf("%v\n%s", err, s.trace())
				}
				return ""
			})).To(BeEmpty())
		})
	}

	kill := func(s *memberSim, id uint64) { s.gone(id) }
	announce := func(s *memberSim, id uint64) {
		s.announceStop(s.hosts[id])
		s.run(200 * time.Millisecond)
		s.gone(id)
	}
	for _, one := range []struct {
		name string
		play func(s *memberSim, victim uint64)
	}{
		{"a host is gone, and an empty one comes 20 ms later", func(s *memberSim, victim uint64) {
			s.replaceAfter(victim, 20*time.Millisecond, "host-4")
		}},
		{"a host is gone, and an empty one comes 0.3 s later", func(s *memberSim, victim uint64) {
			s.replaceAfter(victim, 300*time.Millisecond, "host-4")
		}},
		{"a host is gone, and an empty one comes 2 s later", func(s *memberSim, victim uint64) {
			s.replaceAfter(victim, 2*time.Second, "host-4")
		}},
		{"a host was replaced, and a disk is lost a second after it is gone", func(s *memberSim, victim uint64) {
			s.addNew("host-4")
			s.run(catchUpTime)
			s.gone(victim)
			s.run(settleTime)
			s.loseDiskOf(s.victim())
		}},
		{"the same, and the disk is the next leader's", func(s *memberSim, victim uint64) {
			s.addNew("host-4")
			s.run(catchUpTime)
			s.gone(victim)
			s.run(settleTime)
			s.loseDiskOf(s.leader())
		}},
		{"a new host is gone again while it joins", func(s *memberSim, victim uint64) {
			h := s.addNew("host-4")
			s.run(60 * time.Millisecond)
			s.gone(h.id)
			s.run(settleTime)
			s.loseDiskOf(s.hosts[victim])
		}},
		{"a host returns empty twice", func(s *memberSim, victim uint64) {
			for range 2 {
				s.loseDiskOf(s.hosts[victim])
				victim = s.nextID
				s.run(300 * time.Millisecond)
			}
		}},
		{"a suspended host was replaced, and goes on", func(s *memberSim, victim uint64) {
			s.addNew("host-4")
			s.run(catchUpTime)
			s.suspend(s.hosts[victim], 3*time.Second)
			s.run(3*time.Second + catchUpTime)
			s.loseDiskOf(s.leader())
		}},
		{"three new hosts start first, and the old ones are gone a second apart", func(s *memberSim, victim uint64) {
			s.replaceAll(victim, kill, settleTime)
		}},
		{"three new hosts start first, and the old ones stop as planned half a second apart", func(s *memberSim, victim uint64) {
			s.replaceAll(victim, announce, 500*time.Millisecond)
		}},
		{"the old ones are gone first, each with time for the next", func(s *memberSim, victim uint64) {
			for i, id := range s.oldFrom(victim) {
				s.replaceAfter(id, 300*time.Millisecond, fmt.Sprint("host-", 4+i))
				s.run(catchUpTime)
			}
		}},
		{"two of three were replaced, all end, and a disk is lost", func(s *memberSim, victim uint64) {
			for i, id := range s.oldFrom(victim)[:2] {
				s.addNew(fmt.Sprint("host-", 4+i))
				s.run(catchUpTime)
				s.gone(id)
				s.run(settleTime)
			}
			lost := s.hosts[s.ids()[0]]
			s.stopAll()
			s.loseDiskOf(lost)
		}},
	} {
		// Each case was seen to leave a log without a leader, or stands next to one that was.
		It("have a leader and keep what was acknowledged: "+one.name, func() {
			Expect(playSeeds(0, 12, func(seed uint64) string {
				s := newMemberSim(seed, 3, 0)
				s.run(2 * time.Second)
				victim := seed%3 + 1
				if leader := s.leader(); leader != nil && seed%2 == 0 {
					victim = leader.id
				}
				one.play(s, victim)
				s.run(catchUpTime)
				if s.err == nil && s.leader() == nil {
					s.fail("no host leads")
				}
				if err := s.healAndCheck(); err != nil {
					return fmt.Sprintf("%v\n%s", err, s.trace())
				}
				return ""
			})).To(BeEmpty())
		})
	}
})
