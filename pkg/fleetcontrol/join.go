package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// stopInterval is how often a replica that stops repeats its announcement.
const stopInterval = 50 * time.Millisecond

// maintainPeers tells the seed hosts the members, and asks the others to add this replica
// if it may no longer be a member.
func (r *Replica) maintainPeers(ctx context.Context) {
	timer.Loop(ctx, r.svc, joinInterval, func(now time.Time) {
		node, _ := r.current()
		if node == nil {
			return
		}
		st := node.Status()
		if r.mayHaveBeenRemoved(st, now) {
			r.requestJoin(ctx, st)
		}
		r.informSeeds(ctx, st)
	})
}

// mayHaveBeenRemoved reports whether this replica may no longer be a member: the log
// doesn't name it, or it has known no leader for joinSilence.
func (r *Replica) mayHaveBeenRemoved(st replica.Status, now time.Time) bool {
	return !containsMember(st.Members, st.ID) || now.Sub(r.tracker.LeaderKnownAt()) > joinSilence
}

// requestJoin asks every known control host to add this replica. Not only the leader is
// asked: another one may lead next, and must know the learners then.
func (r *Replica) requestJoin(ctx context.Context, st replica.Status) {
	queried := map[string]bool{
		r.address(): true,
	}
	list := r.seedAddresses()
	for _, m := range st.Members.GetList() {
		list = append(list, m.GetAddress())
	}
	for len(list) > 0 && ctx.Err() == nil {
		var next []string
		for _, address := range list {
			if address != "" && !queried[address] {
				queried[address] = true
				next = append(next, address)
			}
		}
		list = r.requestJoinFrom(ctx, st.ID, next)
	}
}

// requestJoinFrom sends the request to the addresses, and returns those that the replies
// name.
func (r *Replica) requestJoinFrom(ctx context.Context, id uint64, addresses []string) []string {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var named []string
	g := group.New(ctx)
	for _, address := range addresses {
		g.Go(func(ctx context.Context) {
			reply, err := rpc.NewFleetProtobufClient("http://"+address, r.client).Join(ctx, &rpc.JoinRequest{
				Id:      id,
				Address: r.address(),
			})
			if err != nil {
				return // asked again in the next round
			}
			r.learnAddresses(reply.GetMembers())
			mu.Lock()
			defer mu.Unlock()
			named = append(named, reply.GetLeader())
			for _, m := range reply.GetMembers().GetList() {
				named = append(named, m.GetAddress())
			}
		})
	}
	g.Wait()
	return named
}

// learnAddresses lets this replica answer members that its log doesn't name yet.
func (r *Replica) learnAddresses(members *rpc.Members) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transport == nil {
		return
	}
	for _, m := range members.GetList() {
		r.transport.Learn(m.GetId(), m.GetAddress())
	}
}

// handleJoin answers a request to join, which makes the caller a learner, and the
// announcement of a planned stop. A caller without an id only gets the members and the
// leader's address. A host without a disk stores the members that the caller sends.
func (r *Replica) handleJoin(q *rpc.JoinRequest) (*rpc.JoinReply, error) {
	node, _ := r.current()
	if node == nil && r.folder == "" {
		return r.exchangeMembers(q), nil
	}
	if node == nil {
		return nil, errNotOpen
	}
	st := node.Status()
	reply := &rpc.JoinReply{
		Leader:  st.Leader.GetAddress(),
		Members: st.Members,
	}
	if q.GetId() == 0 {
		return reply, nil
	}
	leads := st.Role == raft.Leader
	reply.Member = leads && containsMember(st.Members, q.GetId())
	if q.GetStopping() {
		r.tracker.Stopping(q.GetId())
		_, due := r.view(st).Next()
		reply.Replacing = reply.Member && due
		return reply, nil
	}
	isNew := r.tracker.Joining(q.GetId(), q.GetAddress())
	if leads && !reply.Member {
		if isNew {
			r.log.Event(eventlog.ReplicaJoining, eventlog.Str("address", q.GetAddress()))
		}
		// A caller of an earlier release answers only members of a list that names it.
		reply.Members = withMember(st.Members, q.GetId(), q.GetAddress())
	}
	return reply, nil
}

// announceStop tells the leader that this replica is about to stop, and returns once the
// leader has removed it, has no other replica to do without it, or ctx ends.
func (r *Replica) announceStop(ctx context.Context) {
	node, _ := r.current()
	if node == nil {
		return
	}
	for r.announceStopOnce(ctx, node.Status()) {
		if timer.Sleep(ctx, r.svc, stopInterval) != nil {
			return
		}
	}
}

// announceStopOnce reports whether the leader is about to remove this replica. A leader
// that removes itself leads until that is committed.
func (r *Replica) announceStopOnce(ctx context.Context, st replica.Status) bool {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	q := &rpc.JoinRequest{
		Id:       st.ID,
		Address:  r.address(),
		Stopping: true,
	}
	if st.Role == raft.Leader {
		reply, err := r.handleJoin(q)
		return err == nil && (reply.GetReplacing() || !containsMember(st.Members, st.ID))
	}
	if st.Leader == nil {
		return false
	}
	reply, err := rpc.NewFleetProtobufClient("http://"+st.Leader.GetAddress(), r.client).Join(ctx, q)
	return err == nil && reply.GetReplacing()
}
