// Package quorum decides which replicas vote in the replicated log: when a learner
// becomes a voter, and when a voter that is lost or stops is removed. It is pure: the
// leader passes in what it knows of the replicas and gets one change back.
package quorum

import (
	"sort"
	"time"
)

const (
	// respondingWithin is how recently a replica must have been heard to count as
	// responding. Followers answer a heartbeat every 60 ms.
	respondingWithin = 300 * time.Millisecond
	// lostAfter is how long a voter must be silent to be lost while the others can't
	// bear the tolerated losses: as long as an election takes, well above the pauses
	// of a busy host. refusedAfter is the same if connections to it are refused as well:
	// its process has ended.
	lostAfter    = 500 * time.Millisecond
	refusedAfter = 200 * time.Millisecond
	// refusedAwaited is for how long the leader must have been calling a replica before a
	// refusal counts: an earlier one may have been of a process that has started again.
	refusedAwaited = 100 * time.Millisecond
	// spareLostAfter is the same while they can, so that a short outage costs no change.
	spareLostAfter = 4 * time.Second
)

// Replica is what the leader knows of one replica. Durations are in the leader's time.
type Replica struct {
	ID      uint64
	Address string
	// Voter is set for a member of the log, and not for a learner.
	Voter bool
	// Silent is how long ago its last message arrived; 0 for the leader itself.
	Silent time.Duration
	// Awaited is for how long the leader has been expecting messages from it. A leader
	// that was just elected or suspended can't take silence for a loss yet.
	Awaited time.Duration
	// Refused is set while its address refuses connections.
	Refused bool
	// CaughtUp is set for a learner that holds nearly all of the log.
	CaughtUp bool
	// Stopping is set while the replica announces a planned stop.
	Stopping bool
}

func (r Replica) responds() bool { return r.Silent <= respondingWithin && !r.ended() }

// ended reports whether the replica's process is known to have ended.
func (r Replica) ended() bool {
	return r.Refused && r.Silent >= refusedAfter && r.Awaited >= refusedAwaited
}

// lost reports whether the replica has been silent for so long that it counts as lost;
// spare is set if the others can bear the tolerated losses without it.
func (r Replica) lost(spare bool) bool {
	if spare {
		return r.Silent >= spareLostAfter && r.Awaited >= spareLostAfter
	}
	return r.Silent >= lostAfter && r.Awaited > respondingWithin || r.ended()
}

// View is what a leader knows of all replicas. Tolerated is how many of them may be
// lost at once.
//
// Invariants of the changes that Next returns: the voters that respond are a majority of
// the new voters; there are never fewer than 2*Tolerated voters, so that every majority
// outlives the tolerated losses; and fewer than 2*Tolerated+1 only while a learner that
// has caught up is about to join.
type View struct {
	Replicas  []Replica
	Tolerated int
}

// Change adds or removes one voter.
type Change struct {
	Replica Replica
	Remove  bool
}

// SpareLosses returns how many more voters may be lost before the others are no majority;
// negative if they are none now.
func (v View) SpareLosses() int {
	voters := v.voters()
	return count(voters, steady) - majority(len(voters))
}

// Voters returns the number of voters.
func (v View) Voters() int {
	return len(v.voters())
}

// Waiting returns the voters that don't respond or announce a planned stop.
func (v View) Waiting() []Replica {
	var list []Replica
	for _, r := range v.voters() {
		if !steady(r) {
			list = append(list, r)
		}
	}
	return list
}

// Next returns the next change, or false if none is due.
func (v View) Next() (Change, bool) {
	voters := v.voters()
	if count(voters, Replica.responds) < majority(len(voters)) {
		return Change{}, false
	}
	ready := v.ready()
	if r, ok := v.departing(); ok && v.mayRemove(len(voters), len(ready)) {
		return v.replace(r, ready)
	}
	if len(ready) > 0 && v.mayAdd(len(voters), len(ready)) {
		return v.checked(Change{
			Replica: ready[0],
		})
	}
	return Change{}, false
}

// mayRemove reports whether a voter may be removed: enough others stay, or a learner
// takes its place at once.
func (v View) mayRemove(voters, ready int) bool {
	wanted := 2*v.Tolerated + 1
	return voters > wanted || voters == wanted && ready > 0
}

// mayAdd reports whether a learner may become a voter. An even number of voters bears no
// more losses than one voter less, and needs a larger majority, so one learner stays a
// learner beside an odd number of voters.
func (v View) mayAdd(voters, ready int) bool {
	return voters < 2*v.Tolerated+1 || voters%2 == 0 || ready > 1
}

// replace removes the voter, or first adds a learner if the voters bear more losses that
// way: a voter that is about to stop still counts until it does.
func (v View) replace(r Replica, ready []Replica) (Change, bool) {
	remove := Change{
		Replica: r,
		Remove:  true,
	}
	if len(ready) == 0 {
		return v.checked(remove)
	}
	add := Change{
		Replica: ready[0],
	}
	if v.spareAfter(add, steady) > v.spareAfter(remove, steady) ||
		v.spareAfter(add, steady) == v.spareAfter(remove, steady) && v.spareAfter(add, Replica.responds) > v.spareAfter(remove, Replica.responds) {
		return v.checked(add)
	}
	return v.checked(remove)
}

// checked returns the change if the voters that respond can commit it.
func (v View) checked(c Change) (Change, bool) {
	return c, v.spareAfter(c, Replica.responds) >= 0
}

// spareAfter returns how many of the voters that pred holds for could be lost after the
// change.
func (v View) spareAfter(c Change, pred func(Replica) bool) int {
	var next []Replica
	for _, r := range v.voters() {
		if !c.Remove || r.ID != c.Replica.ID {
			next = append(next, r)
		}
	}
	if !c.Remove {
		next = append(next, c.Replica)
	}
	return count(next, pred) - majority(len(next))
}

// departing returns the voter to remove first: one whose address another replica has
// taken, since its disk is gone, then the one that has been silent for longest, then one
// that announces a planned stop.
func (v View) departing() (Replica, bool) {
	spare := v.SpareLosses() >= v.Tolerated
	var list []Replica
	for _, r := range v.voters() {
		if v.superseded(r) || r.lost(spare) || r.Stopping {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	sort.SliceStable(list, func(i, j int) bool {
		if a, b := v.superseded(list[i]), v.superseded(list[j]); a != b {
			return a
		}
		return list[i].Silent > list[j].Silent
	})
	return list[0], true
}

// superseded reports whether another replica responds at the address of r, and r doesn't.
func (v View) superseded(r Replica) bool {
	if r.responds() {
		return false
	}
	for _, other := range v.Replicas {
		if other.ID != r.ID && other.Address == r.Address && other.responds() {
			return true
		}
	}
	return false
}

// ready returns the learners that may become voters.
func (v View) ready() []Replica {
	var list []Replica
	for _, r := range v.Replicas {
		if !r.Voter && r.CaughtUp && steady(r) {
			list = append(list, r)
		}
	}
	return list
}

func (v View) voters() []Replica {
	var list []Replica
	for _, r := range v.Replicas {
		if r.Voter {
			list = append(list, r)
		}
	}
	return list
}

func steady(r Replica) bool { return r.responds() && !r.Stopping }

func count(list []Replica, pred func(Replica) bool) int {
	n := 0
	for _, r := range list {
		if pred(r) {
			n++
		}
	}
	return n
}

func majority(n int) int { return n/2 + 1 }
