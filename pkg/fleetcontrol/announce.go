package fleetcontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// ErrNoMajority is returned if too few control replicas acknowledged a leave
// announcement or a deregistration. The endpoint is sent the text.
var ErrNoMajority = errors.New("no majority of the control replicas could be told")

// Announce records an endpoint's heartbeat. A leave announcement is acknowledged only
// once the log has recorded it, and a majority of the replicas has it: hosts that follow another
// leader would go on sending to the endpoint otherwise. The error is a
// *fleet.AnnouncementError if no endpoint can have sent the heartbeat.
func (s *Server) Announce(ctx context.Context, e fleet.Endpoint) error {
	if err := e.ValidateAnnounced(); err != nil {
		return err
	}
	isNew := s.table.Announce(e)
	if e.Leaving {
		return s.propagate(ctx, e)
	}
	if isNew {
		s.group.Go(func(ctx context.Context) {
			if err := s.propagate(ctx, e); err != nil {
				s.cfg.Metrics.Counter("spread_alone").Inc(1) // sent again by propagateAnnounced
			}
		})
	}
	return nil
}

// Deregister records that an endpoint is gone for good. The error is a
// *fleet.AnnouncementError if no endpoint can have that id.
func (s *Server) Deregister(ctx context.Context, id string) error {
	if err := fleet.ValidateID(id); err != nil {
		return err
	}
	return s.propagate(ctx, s.table.MarkGone(id))
}

// propagate sends an endpoint to the other replicas without waiting for the next
// regular round. It fails unless a majority of the replicas that elect leaders, this one
// included, has it before the calls time out, and the log records it if the endpoint is leaving
// or gone.
func (s *Server) propagate(ctx context.Context, e fleet.Endpoint) error {
	e.LastHeartbeat = s.cfg.Timer.Now()
	batch := s.propagateBatched(ctx, e)
	if batch == nil || ctx.Err() != nil || !batch.hasMajority() {
		return ErrNoMajority
	}
	if (e.Leaving || e.Gone) && !batch.recorded {
		return ErrNoMajority
	}
	return nil
}

// otherReplicas returns the addresses of the other replicas, learners included; the
// seeds' addresses while the log doesn't name the members.
func (s *Server) otherReplicas() []string {
	return s.others(s.replica.Members())
}

// otherVoters returns the addresses of the other replicas that elect leaders; the seeds'
// addresses while the log doesn't name the members.
func (s *Server) otherVoters() []string {
	return s.others(s.replica.Voters())
}

func (s *Server) others(addresses []string) []string {
	var list []string
	if len(addresses) == 0 {
		addresses = s.seedAddresses()
	}
	for _, a := range addresses {
		if a != s.replica.address() {
			list = append(list, a)
		}
	}
	return list
}

// sendAnnouncements sends announcements to other replicas, and returns how many of
// those that elect leaders acknowledged them.
func (s *Server) sendAnnouncements(ctx context.Context, to, voters []string, list []fleet.Endpoint) int64 {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	acknowledged := atomic.Int64{}
	g := group.New(ctx)
	q := &rpc.SpreadRequest{
		Endpoints: fleet.EndpointsToWire(list, s.cfg.Timer.Now()),
	}
	for _, address := range to {
		s.cfg.Metrics.Counter("spread_calls").Inc(1)
		g.Go(func(ctx context.Context) {
			if _, err := rpc.NewFleetProtobufClient("http://"+address, s.cfg.Client).Spread(ctx, q); err != nil {
				s.cfg.Metrics.Counter("spread_failures").Inc(1) // sent again by propagateAnnounced
				return
			}
			if slices.Contains(voters, address) {
				acknowledged.Add(1)
			}
		})
	}
	g.Wait()
	return acknowledged.Load()
}

// Spread implements rpc.Fleet.
func (s *Server) Spread(_ context.Context, q *rpc.SpreadRequest) (*rpc.SpreadReply, error) {
	now := s.cfg.Timer.Now()
	s.table.Merge(nonEmptyAnnouncements(q.GetEndpoints(), now))
	reply := &rpc.SpreadReply{}
	if q.GetWhole() {
		reply.Endpoints = fleet.EndpointsToWire(s.table.Announced(), now)
	}
	return reply, nil
}

// nonEmptyAnnouncements drops entries that carry nothing but an id.
func nonEmptyAnnouncements(list []*rpc.Announcement, now time.Time) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range fleet.EndpointsFromWire(list, now) {
		if e.Address != "" || e.Gone {
			out = append(out, e)
		}
	}
	return out
}

// propagateAnnounced regularly sends the leader the announcements that this replica
// received.
func (s *Server) propagateAnnounced(ctx context.Context) {
	timer.Loop(ctx, s.cfg.Timer, propagateInterval, func(time.Time) {
		_, _, leader := s.replica.Leads(ctx)
		if leader == "" || leader == s.replica.address() {
			return
		}
		if list := s.table.AnnouncedWithin(propagateInterval + propagateInterval/2); len(list) > 0 {
			s.sendAnnouncements(ctx, []string{leader}, nil, list)
		}
	})
}

// fetchEndpoints asks the other replicas for the endpoints that they know, so that a
// replica doesn't restart with an empty list. An empty answer doesn't end the retries,
// as that replica may have just started too, unless all others answer so.
func (s *Server) fetchEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if s.fetchEndpointsOnce(ctx) {
			return
		}
		if timer.Sleep(ctx, s.cfg.Timer, propagateInterval) != nil {
			return
		}
	}
}

// fetchAsMember asks all other replicas for the endpoints that they know, without waiting
// for them. A replica that becomes a member may lead next, and calls to it may have failed
// while others acknowledged that an endpoint is leaving.
func (s *Server) fetchAsMember() {
	s.group.Go(func(ctx context.Context) {
		for _, address := range s.otherVoters() {
			if _, err := s.fetchEndpointsFrom(ctx, address); err != nil {
				s.cfg.Metrics.Counter("spread_failures").Inc(1) // another one knows as much
			}
		}
	})
}

// fetchEndpointsOnce asks one replica after the other. It reports whether one knew
// endpoints, or all answered that they know none.
func (s *Server) fetchEndpointsOnce(ctx context.Context) bool {
	queried := map[string]bool{
		s.replica.address(): true,
	}
	all := true
	for _, address := range append(s.otherReplicas(), s.seedAddresses()...) {
		if queried[address] {
			continue
		}
		queried[address] = true
		count, err := s.fetchEndpointsFrom(ctx, address)
		if count > 0 {
			return true
		}
		all = all && err == nil
	}
	return all
}

// fetchEndpointsFrom merges the endpoints that another replica has received
// announcements of, and returns how many it sent.
func (s *Server) fetchEndpointsFrom(ctx context.Context, address string) (count int, err error) {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, s.cfg.Client).Spread(ctx, &rpc.SpreadRequest{
		Whole: true,
	})
	if err != nil {
		return 0, errors.Wrap(err, "fetch endpoints")
	}
	if n := s.table.Merge(nonEmptyAnnouncements(reply.GetEndpoints(), s.cfg.Timer.Now())); n > 0 {
		s.cfg.Log.Event(eventlog.Reloaded, eventlog.Str("what", "endpoints"), eventlog.Str("from", address), eventlog.Int("count", int64(n)))
	}
	return len(reply.GetEndpoints()), nil
}
