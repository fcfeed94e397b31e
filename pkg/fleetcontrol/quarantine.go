package fleetcontrol

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// quarantineInterval is how often the leader judges the ends that hosts told of.
	// With a host's call, which is held for 0.4 s, and the log's two syncs, every host
	// knows within a second of the third end; an endpoint more may end until then.
	quarantineInterval = 200 * time.Millisecond
	// verdictsKeep is how long one list of verdicts serves though nothing was decided:
	// what is held is let go that much later, and what is watched told so. In a crowd of
	// ends that changes all the time, and each change answers every held call.
	verdictsKeep = time.Second
)

// court is what the leader knows of requests under which endpoints ended: ends that
// hosts told of, which a new leader learns anew, and verdicts as hosts are told them.
// Those that hold stand in the log.
type court struct {
	svc      timer.Service
	suspects *quarantine.Detector

	mu       sync.Mutex
	term     uint64 // in which this replica was told
	served   []quarantine.Fingerprint
	verdicts verdicts
}

// verdicts is what hosts are told, made once for all of them.
type verdicts struct {
	list    []verdict
	digest  uint64
	machine *state.Machine
	version uint64
	madeAt  time.Time
}

// verdict is one request; untilMS is 0 if it is only watched.
type verdict struct {
	fingerprint uint64
	untilMS     int64
}

func newCourt(svc timer.Service) *court {
	return &court{
		svc:      svc,
		suspects: quarantine.NewDetector(svc),
	}
}

// hear takes what an entry host tells.
func (c *court) hear(q *rpc.SyncRequest, held func(f quarantine.Fingerprint) bool) {
	for _, e := range q.GetEnded() {
		f := quarantine.Fingerprint(e.GetFingerprint())
		c.suspects.Add(quarantine.Crash{
			Fingerprint:    f,
			Endpoint:       e.GetEndpoint(),
			BeforeResponse: e.GetEarly(),
			After:          time.Duration(e.GetAfterMs()) * time.Millisecond,
		}, held(f))
	}
	if len(q.GetServed()) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range q.GetServed() {
		c.suspects.Clear(quarantine.Fingerprint(f))
		c.served = append(c.served, quarantine.Fingerprint(f))
	}
}

// takeServed returns the watched requests that were served since the last time.
func (c *court) takeServed() []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.served
	c.served = nil
	return list
}

// enter forgets everything where this replica leads in another term than before: hosts
// tell it again then. One that had no lease for a moment goes on with what it knows,
// which nobody tells it a second time.
func (c *court) enter(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		return
	}
	c.term = term
	c.served = nil
	c.suspects.Reset()
}

// current returns the verdicts that hosts are told.
func (c *court) current(machine *state.Machine) verdicts {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.svc.Now()
	v := &c.verdicts
	version := machine.QuarantineVersion()
	if v.machine != machine || v.version != version || now.Sub(v.madeAt) >= verdictsKeep {
		c.verdicts = verdicts{
			list:    c.list(machine),
			machine: machine,
			version: version,
			madeAt:  now,
		}
		c.verdicts.digest = digestOf(c.verdicts.list)
	}
	return c.verdicts
}

// list returns what is held, and watched: by its ends, or as it was held before.
func (c *court) list(machine *state.Machine) []verdict {
	var list []verdict
	wall := c.svc.Wall().UnixMilli()
	known := map[uint64]bool{}
	for _, h := range machine.Quarantine() {
		known[h.Fingerprint] = true
		v := verdict{
			fingerprint: h.Fingerprint,
		}
		if h.UntilMS > wall {
			v.untilMS = h.UntilMS
		}
		list = append(list, v)
	}
	for _, f := range c.suspects.Watched() {
		if !known[uint64(f)] {
			list = append(list, verdict{
				fingerprint: uint64(f),
			})
		}
	}
	return list
}

// digestOf returns a number that equal lists share; an empty list has 0.
func digestOf(list []verdict) uint64 {
	if len(list) == 0 {
		return 0
	}
	buf := make([]byte, 0, 16*len(list))
	for _, v := range list {
		buf = binary.LittleEndian.AppendUint64(buf, v.fingerprint)
		buf = binary.LittleEndian.AppendUint64(buf, uint64(v.untilMS))
	}
	return xxhash.Sum64(buf)
}

// hearEnds takes what a host tells of ends.
func (s *Server) hearEnds(q *rpc.SyncRequest, machine *state.Machine, term uint64) {
	s.court.enter(term)
	if len(q.GetEnded()) == 0 && len(q.GetServed()) == 0 {
		return
	}
	held := heldAt(machine, s.cfg.Timer.Wall())
	s.court.hear(q, func(f quarantine.Fingerprint) bool { return held[uint64(f)] })
}

// heldAt returns the requests of the log's quarantine: true if held at a time of day,
// false if they were let go.
func heldAt(machine *state.Machine, wall time.Time) map[uint64]bool {
	held := map[uint64]bool{}
	for _, h := range machine.Quarantine() {
		held[h.Fingerprint] = h.UntilMS > wall.UnixMilli()
	}
	return held
}

// tellSuspects adds the verdicts to a reply if the host holds others.
func (s *Server) tellSuspects(q *rpc.SyncRequest, reply *rpc.SyncReply, machine *state.Machine) {
	v := s.court.current(machine)
	reply.SuspectsDigest = v.digest
	if q.GetSuspectsDigest() == v.digest {
		return
	}
	wall := s.cfg.Timer.Wall().UnixMilli()
	for _, one := range v.list {
		left := max(0, one.untilMS-wall)
		reply.Suspects = append(reply.Suspects, &rpc.Suspect{
			Fingerprint: one.fingerprint,
			HeldMs:      uint32(min(left, math.MaxUint32)),
		})
	}
}

// judge decides regularly, while this replica leads, which requests are kept from
// endpoints.
func (s *Server) judge(ctx context.Context) {
	timer.Loop(ctx, s.cfg.Timer, quarantineInterval, func(time.Time) { s.judgeOnce(ctx) })
}

func (s *Server) judgeOnce(ctx context.Context) {
	machine, term, _ := s.leadership.Leads(ctx)
	if machine == nil {
		return
	}
	s.court.enter(term)
	held := heldAt(machine, s.cfg.Timer.Wall())
	before := func(f quarantine.Fingerprint) bool {
		_, known := held[uint64(f)]
		return known
	}
	for _, one := range s.court.suspects.Detect(before) {
		s.hold(ctx, one)
	}
	for _, f := range s.court.takeServed() {
		if stillHeld, known := held[uint64(f)]; known && !stillHeld {
			s.release(ctx, f)
		}
	}
}

// release lets a request go that was served after its time.
func (s *Server) release(ctx context.Context, f quarantine.Fingerprint) {
	err := s.decide(ctx, f, true)
	s.cfg.Log.Event(eventlog.RequestReleased, eventlog.Str("fingerprint", f.String()), eventlog.Str("by", "control"), eventlog.Err(err))
}

// hold keeps a request from endpoints. If the log didn't take that, it is judged again.
func (s *Server) hold(ctx context.Context, one quarantine.Finding) {
	err := s.decide(ctx, one.Fingerprint, false)
	s.cfg.Log.Event(eventlog.RequestHeld, eventlog.Str("fingerprint", one.Fingerprint.String()), eventlog.Str("by", "control"),
		eventlog.Int("ends", int64(len(one.Crashes))), eventlog.Err(err))
	if err == nil {
		return
	}
	for _, e := range one.Crashes {
		s.court.suspects.Add(e, false)
	}
}

// decide puts a verdict into the log.
func (s *Server) decide(ctx context.Context, f quarantine.Fingerprint, release bool) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.propose(ctx, &rpc.Command{
		UnixMs: s.cfg.Timer.Wall().UnixMilli(),
		Kind: &rpc.Command_Quarantine{
			Quarantine: &rpc.Quarantine{
				Fingerprint: uint64(f),
				Release:     release,
			},
		},
	})
	return err
}
