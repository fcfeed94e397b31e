package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// observeInterval is how often a control host without a disk asks for the replicas and
// the leader.
const observeInterval = 300 * time.Millisecond

// observe keeps track of the replicas and the leader on a host without a disk, which
// is no replica itself and forwards calls to the leader.
func (r *Replica) observe(ctx context.Context) {
	timer.Loop(ctx, r.svc, observeInterval, func(time.Time) {
		list := append([]string{r.observed().GetLeader()}, r.Members()...)
		for _, address := range append(list, r.seedAddresses()...) {
			if address != "" && address != r.address() && r.queryReplicas(ctx, address) {
				return
			}
		}
		r.setObserved(&rpc.JoinReply{
			Members: r.observed().GetMembers(),
		})
	})
}

// queryReplicas asks one host for the replicas, and reports whether it knew a leader.
func (r *Replica) queryReplicas(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, r.client).Join(ctx, &rpc.JoinRequest{})
	if err != nil || reply.GetLeader() == "" {
		return false
	}
	r.setObserved(reply)
	return true
}

// exchangeMembers stores the members that a replica sent, if any, and returns those
// that are known.
func (r *Replica) exchangeMembers(q *rpc.JoinRequest) *rpc.JoinReply {
	if len(q.GetMembers().GetList()) > 0 {
		known := &rpc.JoinReply{
			Leader:  q.GetLeader(),
			Members: q.GetMembers(),
		}
		if known.GetLeader() == "" {
			known.Leader = r.observed().GetLeader()
		}
		r.setObserved(known)
	}
	if seen := r.observed(); seen != nil {
		return seen
	}
	return &rpc.JoinReply{}
}

// informSeeds sends the members to the seed hosts that are no replicas. After a stop of
// all hosts, those could not learn them otherwise.
func (r *Replica) informSeeds(ctx context.Context, st replica.Status) {
	members := map[string]bool{
		r.address(): true,
	}
	for _, m := range st.Members.GetList() {
		members[m.GetAddress()] = true
	}
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	g := group.New(ctx)
	defer g.Wait()
	for _, address := range r.seedAddresses() {
		if members[address] || len(st.Members.GetList()) == 0 {
			continue
		}
		g.Go(func(ctx context.Context) {
			// A call that fails is retried in the next round.
			_, _ = rpc.NewFleetProtobufClient("http://"+address, r.client).Join(ctx, &rpc.JoinRequest{
				Leader:  st.Leader.GetAddress(),
				Members: st.Members,
			})
		})
	}
}

func (r *Replica) observed() *rpc.JoinReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastObserved
}

func (r *Replica) setObserved(reply *rpc.JoinReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastObserved = reply
}
