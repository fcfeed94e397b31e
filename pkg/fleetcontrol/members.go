package fleetcontrol

import (
	"context"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	memberInterval = 50 * time.Millisecond
	// maxChanges is how many changes of the members one round makes.
	maxChanges = 4
)

// memberRounds is what maintainMembers keeps from round to round.
type memberRounds struct {
	role     raft.Role
	learner  bool          // the log didn't name this replica as a member
	learners []*rpc.Member // that the node was given
	reported spareLosses
}

// spareLosses is how many more members may be lost, and which are waited for.
type spareLosses struct {
	spare, voters int
	waiting       string
}

// maintainMembers sets which replicas receive the log as learners and, while this replica
// leads, adds and removes members.
func (r *Replica) maintainMembers(ctx context.Context) {
	rounds := &memberRounds{}
	timer.Loop(ctx, r.svc, memberInterval, func(time.Time) {
		node, _ := r.current()
		if node == nil {
			return
		}
		st := node.Status()
		if st.Role != rounds.role {
			r.log.Event(eventlog.RoleChanged, eventlog.Str("role", st.Role.String()), eventlog.Int("term", int64(st.Term)))
			rounds.role = st.Role
		}
		r.noteJoined(st, rounds)
		r.tracker.BeginRound(memberState(st))
		if next := r.tracker.Learners(memberState(st)); !sameMembers(rounds.learners, next) && node.SetLearners(next) {
			rounds.learners = next
		}
		if st.Role == raft.Leader {
			r.adjustMembers(ctx, node, rounds)
		} else {
			rounds.reported = spareLosses{}
			r.metrics.Gauge("replicas_spare_losses").Update(-1)
		}
		r.tracker.EndRound()
	})
}

// noteJoined calls joined if this replica was a learner and is a member now.
func (r *Replica) noteJoined(st replica.Status, rounds *memberRounds) {
	isMember := containsMember(st.Members, st.ID)
	if isMember && rounds.learner {
		r.joined()
	}
	rounds.learner = !isMember
}

// memberState returns the part of a replica's status that its members follow from.
func memberState(st replica.Status) quorum.State {
	return quorum.State{
		Self:    st.ID,
		Leads:   st.Role == raft.Leader,
		Leader:  st.Leader.GetId(),
		Members: st.Members,
		Commit:  st.Commit,
		Match:   st.Match,
	}
}

// adjustMembers makes the changes of the members that are due.
func (r *Replica) adjustMembers(ctx context.Context, node *replica.Node, rounds *memberRounds) {
	for range maxChanges {
		st := node.Status()
		if st.Role != raft.Leader || !node.HoldsLease() {
			return
		}
		view := r.view(st)
		r.reportSpare(view, rounds)
		change, ok := view.Next()
		if !ok || r.changeMembers(ctx, node, st.Members, change) != nil {
			return
		}
	}
}

// view returns what this replica, the leader, knows of the others.
func (r *Replica) view(st replica.Status) quorum.View {
	r.mu.Lock()
	transport := r.transport
	r.mu.Unlock()
	return r.tracker.View(memberState(st), func(id uint64) bool {
		return transport != nil && transport.Refused(id)
	})
}

// reportSpare logs how many more members may be lost, and which are waited for, if that
// has changed.
func (r *Replica) reportSpare(v quorum.View, rounds *memberRounds) {
	var waiting []string
	for _, one := range v.Waiting() {
		waiting = append(waiting, one.Address)
	}
	now := spareLosses{
		spare:   v.SpareLosses(),
		voters:  v.Voters(),
		waiting: strings.Join(waiting, ", "),
	}
	r.metrics.Gauge("replicas_spare_losses").Update(int64(now.spare))
	if now == rounds.reported {
		return
	}
	rounds.reported = now
	r.log.Event(eventlog.ReplicasSpare, eventlog.Int("losses", int64(now.spare)), eventlog.Int("tolerated", int64(v.Tolerated)),
		eventlog.Int("voters", int64(now.voters)), eventlog.Str("waiting_for", now.waiting))
}

// changeMembers makes the change, and waits until it is committed.
func (r *Replica) changeMembers(ctx context.Context, node *replica.Node, members *rpc.Members, c quorum.Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	what, next := "added", withMember(members, c.Replica.ID, c.Replica.Address)
	if c.Remove {
		what, next = "removed", withoutMember(members, c.Replica.ID)
	}
	fields := []eventlog.Field{
		eventlog.Str("what", what),
		eventlog.Str("address", c.Replica.Address),
		eventlog.Ms("silent_ms", c.Replica.Silent),
		eventlog.Str("replicas", strings.Join(addresses(next), ", ")),
	}
	if err := node.ChangeMembers(ctx, next); err != nil {
		r.log.Event(eventlog.ReplicasUnchanged, append(fields, eventlog.Err(err))...)
		return err
	}
	r.log.Event(eventlog.ReplicasChanged, fields...)
	return nil
}

func containsMember(members *rpc.Members, id uint64) bool {
	for _, m := range members.GetList() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// withoutMember returns the members without the one that has the id.
func withoutMember(members *rpc.Members, id uint64) *rpc.Members {
	out := &rpc.Members{}
	for _, m := range members.GetList() {
		if m.GetId() != id {
			out.List = append(out.List, m)
		}
	}
	return out
}

// withMember returns the members and one more.
func withMember(members *rpc.Members, id uint64, address string) *rpc.Members {
	out := withoutMember(members, id)
	out.List = append(out.List, &rpc.Member{
		Id:      id,
		Address: address,
	})
	return out
}

func addresses(members *rpc.Members) []string {
	var list []string
	for _, m := range members.GetList() {
		list = append(list, m.GetAddress())
	}
	return list
}

func sameMembers(a, b []*rpc.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].GetId() != b[i].GetId() || a[i].GetAddress() != b[i].GetAddress() {
			return false
		}
	}
	return true
}
