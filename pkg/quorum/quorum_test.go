package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/quorum"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuorum(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quorum")
}

const long = time.Hour

func voter(id uint64) quorum.Replica {
	return quorum.Replica{ID: id, Address: fmt.Sprint("host-", id), Voter: true, Awaited: long}
}

func learner(id uint64) quorum.Replica {
	return quorum.Replica{ID: id, Address: fmt.Sprint("host-", id), CaughtUp: true, Awaited: long}
}

func behind(id uint64) quorum.Replica {
	r := learner(id)
	r.CaughtUp = false
	return r
}

func silent(r quorum.Replica, d time.Duration) quorum.Replica {
	r.Silent = d
	return r
}

func refused(r quorum.Replica, d time.Duration) quorum.Replica {
	r.Silent, r.Refused = d, true
	return r
}

func stopping(r quorum.Replica) quorum.Replica {
	r.Stopping = true
	return r
}

func at(r quorum.Replica, address string) quorum.Replica {
	r.Address = address
	return r
}

// justElected is what a leader knows that can't have heard the replica yet.
func justElected(r quorum.Replica) quorum.Replica {
	r.Silent, r.Awaited = long, 200*time.Millisecond
	return r
}

// applied returns the view after the change.
func applied(v quorum.View, c quorum.Change) quorum.View {
	next := quorum.View{Tolerated: v.Tolerated}
	for _, r := range v.Replicas {
		if r.ID == c.Replica.ID {
			r.Voter = !c.Remove
			if c.Remove {
				continue // a removed replica must ask to join again
			}
		}
		next.Replicas = append(next.Replicas, r)
	}
	return next
}

// changes returns all changes until none is due, as "-3 +4".
func changes(v quorum.View) string {
	var list []string
	for range 20 {
		c, ok := v.Next()
		if !ok {
			return strings.Join(list, " ")
		}
		sign := "+"
		if c.Remove {
			sign = "-"
		}
		list = append(list, fmt.Sprint(sign, c.Replica.ID))
		v = applied(v, c)
	}
	return "no end: " + strings.Join(list, " ")
}

var _ = Describe("a view of the replicas", func() {
	type replicas = []quorum.Replica
	for _, one := range []struct {
		name      string
		tolerated int
		replicas  replicas
		want      string
	}{
		{"nothing is due while all respond", 1, replicas{voter(1), voter(2), voter(3)}, ""},
		{"a learner beside an odd number of voters stays one", 1, replicas{voter(1), voter(2), voter(3), learner(4)}, ""},
		{"two learners become voters, so that their number stays odd", 1, replicas{voter(1), voter(2), voter(3), learner(4), learner(5)}, "+4 +5"},
		{"a learner makes an even number of voters odd", 1, replicas{voter(1), voter(2), voter(3), voter(4), learner(5)}, "+5"},
		{"learners become voters until there are enough", 2, replicas{voter(1), voter(2), voter(3), learner(4), learner(5), learner(6)}, "+4 +5"},
		{"a learner that is behind doesn't vote", 2, replicas{voter(1), voter(2), voter(3), behind(4)}, ""},
		{"a learner that is silent doesn't vote", 2, replicas{voter(1), voter(2), voter(3), silent(learner(4), 400*time.Millisecond)}, ""},
		{"a learner that stops doesn't vote", 2, replicas{voter(1), voter(2), voter(3), stopping(learner(4))}, ""},

		{"a lost voter is replaced by a learner", 1, replicas{voter(1), voter(2), silent(voter(3), 500*time.Millisecond), learner(4)}, "-3 +4"},
		{"a pause costs no place while there is no other replica", 1, replicas{voter(1), voter(2), silent(voter(3), long)}, ""},
		{"a pause of 0.4 s costs no place", 1, replicas{voter(1), voter(2), silent(voter(3), 400*time.Millisecond), learner(4)}, ""},
		{"a process that has ended is replaced sooner", 1, replicas{voter(1), voter(2), refused(voter(3), 200*time.Millisecond), learner(4)}, "-3 +4"},
		{"a new leader waits for one that refused connections before its term", 1, replicas{voter(1), voter(2), func() quorum.Replica {
			r := refused(voter(3), time.Second)
			r.Awaited = 50 * time.Millisecond
			return r
		}(), learner(4)}, ""},
		{"a refused connection alone is no loss", 1, replicas{voter(1), voter(2), refused(voter(3), 100*time.Millisecond), learner(4)}, ""},
		{"a learner that is behind replaces nobody", 1, replicas{voter(1), voter(2), silent(voter(3), long), behind(4)}, ""},
		{"a new leader waits for voters that it couldn't hear yet", 1, replicas{voter(1), voter(2), justElected(voter(3)), learner(4)}, ""},

		{"of four voters a lost one is removed at once", 1, replicas{voter(1), voter(2), silent(voter(3), 500*time.Millisecond), voter(4)}, "-3"},
		{"of five voters a lost one isn't, as they bear one more", 1, replicas{voter(1), voter(2), silent(voter(3), time.Second), voter(4), voter(5)}, ""},
		{"of five voters one that is lost for long is removed", 1, replicas{voter(1), voter(2), silent(voter(3), 4*time.Second), voter(4), voter(5)}, "-3"},
		{"of five voters two lost ones are removed at once", 1, replicas{voter(1), voter(2), silent(voter(3), time.Second), voter(4), silent(voter(5), 2*time.Second)}, "-5 -3"},
		{"five voters stay if two losses are tolerated", 2, replicas{voter(1), voter(2), silent(voter(3), long), voter(4), silent(voter(5), long)}, ""},
		{"two of five are replaced by two learners", 2, replicas{voter(1), voter(2), silent(voter(3), time.Second), voter(4), silent(voter(5), long), learner(6), learner(7)}, "-5 +6 -3 +7"},
		{"two of five and one learner: one is replaced", 2, replicas{voter(1), voter(2), silent(voter(3), time.Second), voter(4), silent(voter(5), long), learner(6)}, "-5 +6"},

		{"a voter whose disk is gone is replaced, though it was heard lately", 1, replicas{voter(1), voter(2), silent(voter(3), 350*time.Millisecond), at(learner(4), "host-3")}, "-3 +4"},
		{"a voter that responds isn't taken for one whose address has another replica", 1, replicas{voter(1), voter(2), voter(3), at(learner(4), "host-3")}, ""},

		{"a voter that stops is replaced before it goes", 1, replicas{voter(1), voter(2), stopping(voter(3)), learner(4)}, "+4 -3"},
		{"a leader that stops is replaced, too", 1, replicas{stopping(voter(1)), voter(2), voter(3), learner(4)}, "+4 -1"},
		{"a voter that stops stays a voter if there is no other", 1, replicas{voter(1), voter(2), stopping(voter(3))}, ""},
		{"of four voters one that stops is removed", 1, replicas{voter(1), voter(2), stopping(voter(3)), voter(4)}, "-3"},
		{"an only replica hands over to another", 0, replicas{stopping(voter(1)), learner(2)}, "+2 -1"},

		{"nothing is due without a majority", 1, replicas{voter(1), silent(voter(2), long), silent(voter(3), long), learner(4), learner(5)}, ""},
		{"nothing is due without a majority of four", 1, replicas{voter(1), voter(2), silent(voter(3), long), silent(voter(4), long), learner(5)}, ""},
	} {
		It(one.name, func() {
			Expect(changes(quorum.View{Replicas: one.replicas, Tolerated: one.tolerated})).To(Equal(one.want))
		})
	}

	It("tells how many more voters may be lost, and which are waited for", func() {
		v := quorum.View{Replicas: replicas{voter(1), voter(2), silent(voter(3), time.Second), stopping(voter(4)), voter(5), learner(6)}, Tolerated: 1}
		Expect(v.SpareLosses()).To(Equal(0))
		Expect(v.Voters()).To(Equal(5))
		Expect(v.Waiting()).To(Equal(replicas{v.Replicas[2], v.Replicas[3]}))
	})

	// Each combination of states of up to six replicas: what holds for every change.
	It("never lets a change be appended that its voters can't commit, nor too few voters keep what is committed", func() {
		states := []func(uint64) quorum.Replica{
			voter,
			func(id uint64) quorum.Replica { return silent(voter(id), 400*time.Millisecond) },
			func(id uint64) quorum.Replica { return silent(voter(id), time.Second) },
			func(id uint64) quorum.Replica { return silent(voter(id), long) },
			func(id uint64) quorum.Replica { return stopping(voter(id)) },
			learner,
			behind,
		}
		for _, tolerated := range []int{0, 1, 2} {
			for n := 1; n <= 5; n++ {
				total := 1
				for range n {
					total *= len(states)
				}
				for code := range total {
					v := quorum.View{Replicas: replicas{voter(1)}, Tolerated: tolerated}
					for i, rest := 0, code; i < n; i, rest = i+1, rest/len(states) {
						v.Replicas = append(v.Replicas, states[rest%len(states)](uint64(i+2)))
					}
					expectSoundChanges(v)
				}
			}
		}
	})
})

// expectSoundChanges checks each change from the view on, until none is due.
func expectSoundChanges(v quorum.View) {
	for range 20 {
		c, ok := v.Next()
		if !ok {
			return
		}
		next := applied(v, c)
		responding := 0
		for _, r := range next.Replicas {
			if r.Voter && r.Silent <= 300*time.Millisecond {
				responding++
			}
		}
		if 2*responding <= next.Voters() {
			Fail(fmt.Sprintf("%+v: %d of %d voters respond", c, responding, next.Voters()))
		}
		if c.Remove && next.Voters() < 2*v.Tolerated {
			Fail(fmt.Sprintf("%+v: %d voters are left", c, next.Voters()))
		}
		if next.SpareLosses() < min(v.SpareLosses(), v.Tolerated) {
			Fail(fmt.Sprintf("%+v: the voters bear %d losses, before %d", c, next.SpareLosses(), v.SpareLosses()))
		}
		v = next
	}
	Fail(fmt.Sprintf("the changes of %+v never end", v))
}
