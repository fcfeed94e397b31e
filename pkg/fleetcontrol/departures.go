package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/twitchtv/twirp"
)

// That an endpoint is leaving or gone is recorded in the log before it is acknowledged: an
// acknowledged leave outlives a stop of all control hosts, and every later leader knows it. A
// heartbeat that the endpoint sent before may arrive seconds later.

// reusedIDRetention is for how long a departure holds whose id may be used again, since the endpoint
// doesn't report when it started.
const reusedIDRetention = time.Minute

// appliedDepartures is what the table was told of the log's departures last.
type appliedDepartures struct {
	mu      sync.Mutex
	machine *state.Machine
	version uint64
}

// applyDepartures tells the table the departures that the log has recorded.
func (s *Server) applyDepartures(machine *state.Machine) {
	a := &s.appliedDepartures
	a.mu.Lock()
	defer a.mu.Unlock()
	if machine == a.machine && machine.DeparturesVersion() == a.version {
		return
	}
	list, version := machine.Departures()
	now, wall := s.cfg.Timer.Now(), s.cfg.Timer.Wall()
	out := make([]registry.Departed, 0, len(list))
	for _, d := range list {
		one := registry.Departed{
			ID:   d.ID,
			Gone: d.Gone,
		}
		if _, startedAt := fleet.SplitIncarnation(d.ID); startedAt == 0 {
			one.Until = now.Add(reusedIDRetention - wall.Sub(time.UnixMilli(d.AtMS)))
		}
		out = append(out, one)
	}
	s.table.SetDeparted(out)
	a.machine, a.version = machine, version
}

// recordDepartures has the log record those of the endpoints that are leaving or gone, and reports
// whether it has. It doesn't ask a leader of a build that records none.
func (s *Server) recordDepartures(ctx context.Context, list []fleet.Endpoint) bool {
	q := &rpc.Departures{}
	for i := range list {
		if list[i].Leaving || list[i].Gone {
			q.List = append(q.List, &rpc.Departure{
				Endpoint: list[i].ID,
				Gone:     list[i].Gone,
			})
		}
	}
	if _, machine := s.replica.current(); machine != nil {
		q = s.unrecorded(machine, q)
	}
	if len(q.GetList()) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.Depart(ctx, q)
	var failed twirp.Error
	if errors.As(err, &failed) && failed.Code() == twirp.BadRoute {
		return true
	}
	if err != nil {
		s.cfg.Metrics.Counter("departures_not_recorded").Inc(int64(len(q.GetList())))
	}
	return err == nil
}

// unrecorded returns the departures that the log hasn't recorded yet.
func (s *Server) unrecorded(machine *state.Machine, q *rpc.Departures) *rpc.Departures {
	out := &rpc.Departures{}
	for _, d := range q.GetList() {
		id := s.table.NewestIncarnation(d.GetEndpoint())
		if !machine.HasDeparture(id, d.GetGone()) {
			out.List = append(out.List, &rpc.Departure{
				Endpoint: id,
				Gone:     d.GetGone(),
			})
		}
	}
	return out
}

// Depart implements rpc.Fleet. The leader records the departures in the log; other replicas forward
// the call to it, once.
func (s *Server) Depart(ctx context.Context, q *rpc.Departures) (*rpc.Empty, error) {
	machine, _, leader := s.leadership.Leads(ctx)
	if machine == nil {
		ctx, err := s.forward(ctx, leader)
		if err != nil {
			return nil, err
		}
		return rpc.NewFleetProtobufClient("http://"+leader, s.cfg.Client).Depart(ctx, q)
	}
	if q = s.unrecorded(machine, q); len(q.GetList()) > 0 {
		_, err := s.propose(ctx, &rpc.Command{
			UnixMs: s.cfg.Timer.Wall().UnixMilli(),
			Kind: &rpc.Command_Departures{
				Departures: q,
			},
		})
		if err != nil {
			return nil, err
		}
	}
	s.applyDepartures(machine)
	return &rpc.Empty{}, nil
}
