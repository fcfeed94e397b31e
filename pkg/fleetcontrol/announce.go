package fleetcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// ErrNoMajority says that a leave is known to too few control replicas.
var ErrNoMajority = errors.New("no majority of the control replicas could be told")

// Announce takes an endpoint's heartbeat. That an endpoint leaves is
// acknowledged only once a majority of the replicas knows it: whichever leads next
// was elected by one that does, and is told within spreadInterval. To lead isn't
// enough, nor to have told one: a minority may be cut off, and the hosts that follow
// the others' leader would send to the endpoint for as long as that lasts.
func (s *Server) Announce(ctx context.Context, e fleet.Endpoint) error {
	fresh := s.table.Announce(e)
	if e.Leaving {
		return s.spreadNow(ctx, e)
	}
	if fresh {
		s.group.Go(func(ctx context.Context) {
			if err := s.spreadNow(ctx, e); err != nil {
				s.cfg.Metrics.Counter("spread_alone").Inc(1) // the regular round mends it
			}
		})
	}
	return nil
}

// Deregister takes an endpoint's last word.
func (s *Server) Deregister(ctx context.Context, id string) error {
	return s.spreadNow(ctx, s.table.MarkGone(id))
}

// spreadNow tells the other replicas of one endpoint at once, and waits for
// the answers, but not for long. It fails if no majority knows it then.
func (s *Server) spreadNow(ctx context.Context, e fleet.Endpoint) error {
	e.LastHeartbeat = s.cfg.Timer.Now()
	others, told := s.spreadSoon(ctx, e)
	if ctx.Err() != nil || 2*(int(told)+1) <= others+1 {
		return ErrNoMajority
	}
	return nil
}

// others returns the addresses of the other replicas; those of the settings
// while the log doesn't tell.
func (s *Server) others() []string {
	var list []string
	known := s.replica.Members()
	if len(known) == 0 {
		known = s.seedAddresses()
	}
	for _, a := range known {
		if a != s.replica.address() {
			list = append(list, a)
		}
	}
	return list
}

// spread sends announcements to other replicas, and returns how many took them.
func (s *Server) spread(ctx context.Context, to []string, list []fleet.Endpoint) int64 {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	told := atomic.Int64{}
	g := group.New(ctx)
	q := &rpc.SpreadRequest{
		Endpoints: fleet.EndpointsToWire(list, s.cfg.Timer.Now()),
	}
	for _, address := range to {
		s.cfg.Metrics.Counter("spread_calls").Inc(1)
		g.Go(func(ctx context.Context) {
			if _, err := rpc.NewFleetProtobufClient("http://"+address, s.cfg.Client).Spread(ctx, q); err != nil {
				s.cfg.Metrics.Counter("spread_failures").Inc(1) // the regular round mends it
				return
			}
			told.Add(1)
		})
	}
	g.Wait()
	return told.Load()
}

// Spread implements rpc.Fleet.
func (s *Server) Spread(_ context.Context, q *rpc.SpreadRequest) (*rpc.SpreadReply, error) {
	now := s.cfg.Timer.Now()
	s.table.Merge(known(q.GetEndpoints(), now))
	reply := &rpc.SpreadReply{}
	if q.GetWhole() {
		reply.Endpoints = fleet.EndpointsToWire(s.table.Announced(), now)
	}
	return reply, nil
}

// known leaves out rows that tell nothing but an id.
func known(list []*rpc.Announcement, now time.Time) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range fleet.EndpointsFromWire(list, now) {
		if e.Address != "" || e.Gone {
			out = append(out, e)
		}
	}
	return out
}

// spreadHeard tells the leader regularly whom this replica heard of.
func (s *Server) spreadHeard(ctx context.Context) {
	timer.Loop(ctx, s.cfg.Timer, spreadInterval, func(time.Time) {
		_, _, leader := s.replica.Leads(ctx)
		if leader == "" || leader == s.replica.address() {
			return
		}
		if list := s.table.AnnouncedWithin(spreadInterval + spreadInterval/2); len(list) > 0 {
			s.spread(ctx, []string{leader}, list)
		}
	})
}

// learn asks the other replicas for all they know, so that one that was restarted
// doesn't begin without a list. One that has just started itself has heard of nothing,
// and doesn't end the asking, unless all are so.
func (s *Server) learn(ctx context.Context) {
	for ctx.Err() == nil {
		if s.learnRound(ctx) {
			return
		}
		if timer.Sleep(ctx, s.cfg.Timer, spreadInterval) != nil {
			return
		}
	}
}

// learnRound asks one replica after the other, and reports whether one had heard of
// endpoints, or all have answered that they haven't.
func (s *Server) learnRound(ctx context.Context) bool {
	asked := map[string]bool{
		s.replica.address(): true,
	}
	all := true
	for _, address := range append(s.others(), s.seedAddresses()...) {
		if asked[address] {
			continue
		}
		asked[address] = true
		heard, err := s.learnFrom(ctx, address)
		if heard > 0 {
			return true
		}
		all = all && err == nil
	}
	return all
}

// learnFrom takes what another replica has heard of, and returns how many endpoints
// these are.
func (s *Server) learnFrom(ctx context.Context, address string) (heard int, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, s.cfg.Client).Spread(ctx, &rpc.SpreadRequest{
		Whole: true,
	})
	if err != nil {
		return 0, errors.Wrap(err, "learn endpoints")
	}
	if n := s.table.Merge(known(reply.GetEndpoints(), s.cfg.Timer.Now())); n > 0 {
		s.cfg.Log.Event(eventlog.Reloaded, eventlog.Str("what", "endpoints"), eventlog.Str("from", address), eventlog.Int("count", int64(n)))
	}
	return len(reply.GetEndpoints()), nil
}
