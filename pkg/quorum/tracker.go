package quorum

import (
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// pauseThreshold is how long after one round the next may begin; later ones mean that
	// the process was suspended or starved, and heard nothing because of that.
	pauseThreshold = 300 * time.Millisecond
	// formerLeaderDelay is for how long a new leader waits for the answer of the leader
	// before it, whose silence began before its own term.
	formerLeaderDelay = 100 * time.Millisecond
	// stoppingTimeout is for how long the announcement of a stop holds.
	stoppingTimeout = time.Second
	// candidateTimeout is for how long a request to join holds. Replicas repeat it every
	// half second, later if calls time out.
	candidateTimeout = 3 * time.Second
	maxCandidates    = 16
	// catchUpEntries is by how many entries a learner that becomes a voter may be behind.
	catchUpEntries = 64
)

// State is what a replica knows by its log and its role.
type State struct {
	Self    uint64
	Leads   bool
	Leader  uint64 // 0 if it isn't known
	Members *rpc.Members
	Commit  uint64
	// Match is the last index that each member and learner is known to hold; leaders only.
	Match map[uint64]uint64
}

// Tracker keeps what a replica has heard of the others: messages, requests to join and
// announcements of planned stops. Its owner calls BeginRound and EndRound around each
// round in which it looks at the replicas, several times per second.
type Tracker struct {
	svc       timer.Service
	tolerated int

	mu         sync.Mutex
	startedAt  time.Time            // of the replica
	heardAt    map[uint64]time.Time // by sender
	candidates map[uint64]candidate // by id
	stoppingAt map[uint64]time.Time // when a replica last announced its stop
	// leaderKnownAt is when this replica last knew a leader, itself included.
	leaderKnownAt time.Time

	leads      bool
	leadsSince time.Time
	// formerLeader is the last other replica that was known to lead.
	formerLeader uint64
	// awakeSince is since when the process has run without a pause.
	awakeSince time.Time
	roundEnd   time.Time
}

// candidate is a replica that asked to join, and is a learner until it is a member.
type candidate struct {
	address string
	askedAt time.Time
}

// NewTracker returns a tracker for a log that must bear the loss of tolerated replicas.
func NewTracker(svc timer.Service, tolerated int) *Tracker {
	t := &Tracker{
		svc:        svc,
		tolerated:  tolerated,
		candidates: map[uint64]candidate{},
		stoppingAt: map[uint64]time.Time{},
	}
	t.Restart()
	return t
}

// Restart forgets which messages were heard, when the replica is started again.
func (t *Tracker) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt = t.svc.Now()
	t.leaderKnownAt = t.startedAt
	t.heardAt = map[uint64]time.Time{}
	t.leads = false
	t.formerLeader = 0
}

// Heard records a message of another replica.
func (t *Tracker) Heard(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt[id] = t.svc.Now()
}

// HeardAt returns when the last message of a replica came; the zero time if none did.
func (t *Tracker) HeardAt(id uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardAt[id]
}

// LeaderKnownAt returns when this replica last knew a leader; the start if it never did.
// A replica that was removed while it was cut off isn't told; it hears refusals of its
// votes, but no leader.
func (t *Tracker) LeaderKnownAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaderKnownAt
}

// Joining records a request to join, and reports whether it is the first of its replica.
func (t *Tracker) Joining(id uint64, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stoppingAt, id)
	_, known := t.candidates[id]
	if !known && len(t.candidates) >= maxCandidates {
		return false
	}
	t.candidates[id] = candidate{
		address: address,
		askedAt: t.svc.Now(),
	}
	return !known
}

// Stopping records the announcement of a planned stop.
func (t *Tracker) Stopping(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.candidates, id)
	t.stoppingAt[id] = t.svc.Now()
}

// BeginRound records who leads, and whether the process was suspended since the last round.
func (t *Tracker) BeginRound(st State) {
	now := t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.roundEnd) > pauseThreshold {
		t.awakeSince = now
	}
	if st.Leader != 0 {
		t.leaderKnownAt = now
	}
	if st.Leader != 0 && st.Leader != st.Self {
		t.formerLeader = st.Leader
	}
	if st.Leads && !t.leads {
		t.leadsSince = now
	}
	t.leads = st.Leads
	for id, c := range t.candidates {
		if now.Sub(c.askedAt) > candidateTimeout {
			delete(t.candidates, id)
		}
	}
	for id, at := range t.stoppingAt {
		if now.Sub(at) > stoppingTimeout {
			delete(t.stoppingAt, id)
		}
	}
}

// EndRound records the end of a round. The time that the round took is no pause.
func (t *Tracker) EndRound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roundEnd = t.svc.Now()
}

// Learners returns the replicas that asked to join and aren't members, by id.
func (t *Tracker) Learners(st State) []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	member := map[uint64]bool{
		st.Self: true,
	}
	for _, m := range st.Members.GetList() {
		member[m.GetId()] = true
	}
	var list []*rpc.Member
	for id, c := range t.candidates {
		if !member[id] {
			list = append(list, &rpc.Member{
				Id:      id,
				Address: c.address,
			})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetId() < list[j].GetId() })
	return list
}

// View returns what the leader knows of all replicas. Refused tells to which of them
// connections are refused.
func (t *Tracker) View(st State, refused func(id uint64) bool) View {
	learners := t.Learners(st)
	now := t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{
		Tolerated: t.tolerated,
	}
	for _, m := range st.Members.GetList() {
		one := t.replica(m, now)
		one.Voter = true
		if m.GetId() == st.Self {
			one.Silent = 0
		} else {
			one.Refused = refused(m.GetId())
		}
		v.Replicas = append(v.Replicas, one)
	}
	for _, m := range learners {
		one := t.replica(m, now)
		match := st.Match[m.GetId()]
		one.CaughtUp = match > 0 && match+catchUpEntries >= st.Commit
		v.Replicas = append(v.Replicas, one)
	}
	return v
}

func (t *Tracker) replica(m *rpc.Member, now time.Time) Replica {
	id := m.GetId()
	_, stopping := t.stoppingAt[id]
	return Replica{
		ID:       id,
		Address:  m.GetAddress(),
		Silent:   now.Sub(t.heardAt[id]),
		Awaited:  t.awaited(id, now),
		Stopping: stopping,
	}
}

// awaited returns for how long the leader has been able to hear another replica. Only the
// leader before it sent messages to it before its term.
func (t *Tracker) awaited(id uint64, now time.Time) time.Duration {
	leading := now.Sub(t.leadsSince)
	running := min(now.Sub(t.awakeSince), now.Sub(t.startedAt))
	if id == t.formerLeader && leading >= formerLeaderDelay {
		return running
	}
	return min(leading, running)
}
