package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// observeInterval is how often a control host without a disk asks who the
// replicas are and who leads.
const observeInterval = 300 * time.Millisecond

// observe keeps track of the replicas on a host that has no disk, and so is
// none: it passes on what it is sent.
func (r *Replica) observe(ctx context.Context) {
	timer.Loop(ctx, r.svc, observeInterval, func(time.Time) {
		list := append([]string{r.observed().GetLeader()}, r.Members()...)
		for _, address := range append(list, r.peers()...) {
			if address != "" && address != r.address() && r.observeAt(ctx, address) {
				return
			}
		}
		r.setObserved(&rpc.JoinReply{
			Members: r.observed().GetMembers(),
		})
	})
}

// observeAt asks one host, and reports whether it knew a leader.
func (r *Replica) observeAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, r.client).Join(ctx, &rpc.JoinRequest{})
	if err != nil || reply.GetLeader() == "" {
		return false
	}
	r.setObserved(reply)
	return true
}

func (r *Replica) observed() *rpc.JoinReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

func (r *Replica) setObserved(reply *rpc.JoinReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = reply
}
