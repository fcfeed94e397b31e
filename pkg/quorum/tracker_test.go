package quorum_test

import (
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// watch is a tracker of replica 1 of three, whose owner looks at the replicas each 50 ms.
type watch struct {
	*quorum.Tracker
	clock *timer.Manual
	state quorum.State
}

func newWatch() *watch {
	clock := timer.NewManual(time.Unix(1000, 0))
	w := &watch{
		Tracker: quorum.NewTracker(clock, 1),
		clock:   clock,
		state: quorum.State{
			Self:    1,
			Members: &rpc.Members{},
			Commit:  100,
			Match:   map[uint64]uint64{},
		},
	}
	for id := uint64(1); id <= 3; id++ {
		w.state.Members.List = append(w.state.Members.List, &rpc.Member{Id: id, Address: fmt.Sprint("host-", id)})
	}
	return w
}

// follow and lead set who leads from now on.
func (w *watch) follow(leader uint64) { w.state.Leader, w.state.Leads = leader, false }
func (w *watch) lead()                { w.state.Leader, w.state.Leads = 1, true }

// run lets time pass, in which the given replicas are heard. Replica 4 goes on asking to join.
func (w *watch) run(d time.Duration, heard ...uint64) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(50 * time.Millisecond)
		for _, id := range heard {
			w.Heard(id)
			if id == 4 {
				w.Joining(4, "host-4")
			}
		}
		w.BeginRound(w.state)
		w.EndRound()
	}
}

// next returns the change that is due, as "-3" or "+4"; "" if none is.
func (w *watch) next() string {
	v := w.View(w.state, func(uint64) bool { return false })
	c, ok := v.Next()
	switch {
	case !ok:
		return ""
	case c.Remove:
		return fmt.Sprint("-", c.Replica.ID)
	default:
		return fmt.Sprint("+", c.Replica.ID)
	}
}

// joined makes replica 4 a learner that holds the log.
func (w *watch) joined() {
	w.Joining(4, "host-4")
	w.Heard(4)
	w.state.Match[4] = 100
}

var _ = Describe("a tracker", func() {
	It("takes a member that the leader hears nothing of for lost after 0.5 s", func() {
		w := newWatch()
		w.lead()
		w.joined()
		w.run(time.Second, 2, 3, 4)
		w.run(450*time.Millisecond, 2, 4)
		Expect(w.next()).To(BeEmpty())
		w.run(100*time.Millisecond, 2, 4)
		Expect(w.next()).To(Equal("-3"))
	})

	// Guards against a leader that was suspended, and removes members whose messages it didn't read.
	It("waits after a pause of its own process", func() {
		w := newWatch()
		w.lead()
		w.joined()
		w.run(time.Second, 2, 3, 4)
		w.clock.Advance(3 * time.Second)
		w.run(200*time.Millisecond, 2, 4)
		Expect(w.next()).To(BeEmpty())
		w.run(200*time.Millisecond, 2, 4)
		Expect(w.next()).To(Equal("-3"))
	})

	It("doesn't take the time of a round for a pause", func() {
		w := newWatch()
		w.lead()
		w.joined()
		w.run(time.Second, 2, 3, 4)
		w.BeginRound(w.state)
		w.clock.Advance(time.Second)
		w.EndRound()
		w.run(50*time.Millisecond, 2, 4)
		Expect(w.next()).To(Equal("-3"))
	})

	// Guards against a new leader that removes followers, which sent it nothing before its term.
	It("lets a new leader wait for those that had no reason to send it anything", func() {
		w := newWatch()
		w.follow(2)
		w.joined()
		w.run(5*time.Second, 2)
		w.lead()
		w.run(250*time.Millisecond, 2, 4)
		Expect(w.next()).To(BeEmpty())
		w.run(150*time.Millisecond, 2, 4)
		Expect(w.next()).To(Equal("-3"))
	})

	It("counts the silence of the leader before it from its last message", func() {
		w := newWatch()
		w.follow(2)
		w.joined()
		w.run(time.Second, 2, 4)
		w.follow(0)
		w.run(400*time.Millisecond, 4)
		w.lead()
		w.run(100*time.Millisecond, 3, 4)
		Expect(w.next()).To(BeEmpty(), "it may answer yet")
		w.run(100*time.Millisecond, 3, 4)
		Expect(w.next()).To(Equal("-2"))
	})

	It("counts a learner in only once it holds the log and answers", func() {
		w := newWatch()
		w.lead()
		w.run(time.Second, 2, 3)
		w.Joining(4, "host-4")
		w.run(time.Second, 2)
		Expect(w.next()).To(BeEmpty())
		w.state.Match[4] = 100
		Expect(w.next()).To(BeEmpty(), "it doesn't answer")
		w.Heard(4)
		w.state.Match[4] = 10
		Expect(w.next()).To(BeEmpty(), "it is far behind")
		w.state.Match[4] = 90
		Expect(w.next()).To(Equal("-3"))
	})

	It("forgets who doesn't ask any more, and keeps a bounded number of others", func() {
		w := newWatch()
		for id := uint64(10); id < 100; id++ {
			w.Joining(id, "host")
		}
		Expect(len(w.Learners(w.state))).To(BeNumerically("<", 20))
		w.run(4 * time.Second)
		Expect(w.Learners(w.state)).To(BeEmpty())
		Expect(w.Joining(4, "host-4")).To(BeTrue())
		Expect(w.Joining(4, "host-4")).To(BeFalse(), "it is known")
		Expect(w.Joining(3, "host-3")).To(BeTrue())
		Expect(w.Learners(w.state)).To(HaveLen(1), "a member is no learner")
	})

	It("lets the announcement of a stop hold for a second, or until the replica asks to join", func() {
		w := newWatch()
		w.lead()
		w.joined()
		w.run(time.Second, 2, 3, 4)
		w.Stopping(3)
		Expect(w.next()).To(Equal("+4"))
		w.run(900*time.Millisecond, 2, 3, 4)
		Expect(w.next()).To(Equal("+4"))
		w.run(200*time.Millisecond, 2, 3, 4)
		Expect(w.next()).To(BeEmpty())
		w.Stopping(3)
		w.Joining(3, "host-3")
		Expect(w.next()).To(BeEmpty())
		w.Stopping(4)
		Expect(w.Learners(w.state)).To(BeEmpty())
	})

	// Guards against a replica that was removed while it was cut off, and hears nothing but
	// refusals of its votes since.
	It("tells since when no leader is known, whatever else is heard", func() {
		w := newWatch()
		w.follow(2)
		w.run(time.Second, 2)
		known := w.clock.Now()
		w.follow(0)
		w.run(3*time.Second, 2, 3)
		Expect(w.LeaderKnownAt()).To(Equal(known))
		w.Restart()
		Expect(w.LeaderKnownAt()).To(Equal(w.clock.Now()))
	})
})
