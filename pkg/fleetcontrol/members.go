package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// silentMemberTimeout is how long the leader receives nothing from a member before
	// a replica that wants to join may replace it: a few election timeouts.
	silentMemberTimeout = 1500 * time.Millisecond
	// surplusMemberTimeout is the same for members beyond minMembers, which are removed.
	surplusMemberTimeout = 4 * time.Second
)

// maintainMembership asks the others to add this replica if it isn't a member or
// receives nothing from other members. As leader it removes silent surplus members.
func (r *Replica) maintainMembership(ctx context.Context) {
	began := r.svc.Now()
	last := raft.Follower
	timer.Loop(ctx, r.svc, joinInterval, func(now time.Time) {
		node, _ := r.current()
		if node == nil {
			return
		}
		st := node.Status()
		if st.Role != last {
			r.log.Event(eventlog.RoleChanged, eventlog.Str("role", st.Role.String()), eventlog.Int("term", int64(st.Term)))
			last = st.Role
			began = now
		}
		r.informSeeds(ctx, st)
		if st.Role == raft.Leader {
			r.removeSurplus(ctx, node, st, began)
			return
		}
		if r.mayHaveBeenRemoved(st, now, began) {
			r.requestJoin(ctx, st)
		}
	})
}

// mayHaveBeenRemoved reports whether this replica may no longer be a member: the log
// doesn't name it, or it has received nothing from the others for joinSilence.
func (r *Replica) mayHaveBeenRemoved(st replica.Status, now, began time.Time) bool {
	if !containsMember(st.Members, st.ID) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := began
	for _, at := range r.receivedAt {
		if at.After(newest) {
			newest = at
		}
	}
	return now.Sub(newest) > joinSilence
}

func containsMember(members *rpc.Members, id uint64) bool {
	for _, m := range members.GetList() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// requestJoin asks every known control host to add this replica, the reported leader
// first, until one answers that it is a member.
func (r *Replica) requestJoin(ctx context.Context, st replica.Status) {
	queried := map[string]bool{
		r.address(): true,
	}
	list := r.seedAddresses()
	for _, m := range st.Members.GetList() {
		list = append(list, m.GetAddress())
	}
	for len(list) > 0 && ctx.Err() == nil {
		address := list[0]
		list = list[1:]
		if address == "" || queried[address] {
			continue
		}
		queried[address] = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := rpc.NewFleetProtobufClient("http://"+address, r.client).Join(callCtx, &rpc.JoinRequest{
			Id:      st.ID,
			Address: r.address(),
		})
		cancel()
		if err != nil {
			continue // retried in the next round
		}
		if containsMember(reply.GetMembers(), st.ID) {
			// This replica is a member now, but its log may not say so yet. Without the
			// addresses it couldn't even answer a vote request that a majority needs.
			r.setPeerAddresses(reply.GetMembers())
		}
		if reply.GetMember() {
			return
		}
		list = append([]string{reply.GetLeader()}, list...)
	}
}

// handleJoin answers a join request. The leader adds the caller as a member, in place
// of an earlier replica at the same address or of a silent one. Other replicas, and
// any for a caller without an id, only return the members and the leader's address. A
// host without a disk stores the members that the caller sends.
func (r *Replica) handleJoin(ctx context.Context, q *rpc.JoinRequest) (*rpc.JoinReply, error) {
	node, _ := r.current()
	if node == nil && r.folder == "" {
		return r.exchangeMembers(q), nil
	}
	if node == nil {
		return nil, errNotOpen
	}
	st := node.Status()
	if q.GetId() == 0 {
		return &rpc.JoinReply{
			Leader:  st.Leader.GetAddress(),
			Members: st.Members,
		}, nil
	}
	if st.Role != raft.Leader {
		return &rpc.JoinReply{
			Leader:  st.Leader.GetAddress(),
			Members: st.Members,
		}, nil
	}
	if containsMember(st.Members, q.GetId()) {
		return &rpc.JoinReply{
			Member:  true,
			Members: st.Members,
		}, nil
	}
	r.log.Event(eventlog.ReplicaJoining, eventlog.Str("address", q.GetAddress()))
	if old := r.replaceableMember(st, q.GetAddress()); old != 0 {
		if err := r.changeMembers(ctx, node, withoutMember(st.Members, old)); err != nil {
			return nil, err
		}
	}
	members := withoutMember(node.Status().Members, q.GetId())
	members.List = append(members.List, &rpc.Member{
		Id:      q.GetId(),
		Address: q.GetAddress(),
	})
	if err := r.changeMembers(ctx, node, members); err != nil {
		return nil, err
	}
	return &rpc.JoinReply{
		Member:  true,
		Members: members,
	}, nil
}

// setPeerAddresses lets a replica whose log doesn't name it as a member yet answer the
// other members.
func (r *Replica) setPeerAddresses(members *rpc.Members) {
	node, _ := r.current()
	if node == nil || containsMember(node.Status().Members, node.Status().ID) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transport != nil {
		r.transport.SetMembers(members)
	}
}

// replaceableMember returns the member that a replica at address replaces: the one at
// the same address, or a silent one if at least two others remain; 0 if there is none.
func (r *Replica) replaceableMember(st replica.Status, address string) uint64 {
	for _, m := range st.Members.GetList() {
		if m.GetAddress() == address {
			return m.GetId()
		}
	}
	if len(st.Members.GetList()) < 3 {
		return 0
	}
	for _, m := range st.Members.GetList() {
		if m.GetId() != st.ID && r.silentFor(m.GetId(), time.Time{}) > silentMemberTimeout {
			return m.GetId()
		}
	}
	return 0
}

// removeSurplus removes a silent member if at least minMembers remain.
func (r *Replica) removeSurplus(ctx context.Context, node *replica.Node, st replica.Status, since time.Time) {
	if len(st.Members.GetList())-1 < r.minMembers() {
		return
	}
	for _, m := range st.Members.GetList() {
		if m.GetId() == st.ID || r.silentFor(m.GetId(), since) < surplusMemberTimeout {
			continue
		}
		if err := r.changeMembers(ctx, node, withoutMember(st.Members, m.GetId())); err != nil {
			r.log.Event(eventlog.Unexpected, eventlog.Str("what", "a silent replica couldn't be taken out"), eventlog.Err(err))
		}
		return
	}
}

func (r *Replica) changeMembers(ctx context.Context, node *replica.Node, members *rpc.Members) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := node.ChangeMembers(ctx, members)
	if err == nil {
		r.log.Event(eventlog.ReplicasChanged, eventlog.Str("replicas", members.String()))
	}
	return err
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

// minMembers is the number of replicas to keep, so that a majority survives the
// tolerated disk losses.
func (r *Replica) minMembers() int {
	return 2*r.toleratedLosses + 1
}
