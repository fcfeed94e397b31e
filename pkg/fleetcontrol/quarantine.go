package fleetcontrol

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// quarantineInterval is how often the leader evaluates the reported crashes. With
	// long polls of 0.4 s and two syncs of the log, every host has the decision within
	// a second of the third crash. Until then the request may crash one more endpoint.
	quarantineInterval = 200 * time.Millisecond
	// decisionsLifetime is how long one list of decisions is reused while the log's
	// quarantine doesn't change. It bounds how late hosts learn of expired quarantines
	// and newly watched requests. During a burst of crashes the list changes all the
	// time, and each change would end every long poll.
	decisionsLifetime = time.Second
	// maxUnseenAge is how long before a crash a request may have been sent, by a host that
	// doesn't report parts, to count as its possible cause.
	maxUnseenAge = time.Second
)

// quarantineCoordinator holds the leader's knowledge of requests under which endpoints
// crashed: the crashes that hosts reported, which they report again to a new leader,
// and the decisions as sent to hosts. Quarantined requests are kept in the log.
type quarantineCoordinator struct {
	svc      timer.Service
	detector *quarantine.Detector

	mu        sync.Mutex
	term      uint64                                 // in which the crashes were reported
	termAt    time.Time                              // when this leader's term began
	termWall  time.Time                              // the same, as the time of day
	served    []quarantine.Fingerprint               // reported since the last takeServed
	survived  []quarantine.Fingerprint               // quarantined parts, since the last takeSurvived
	granted   map[quarantine.Fingerprint]grantRecord // parts on probation
	trials    map[quarantine.Fingerprint]*earlyTrial // of quarantined parts
	fallen    []quarantine.Finding                   // to be released, since they don't stand any more
	stored    storedEvidence
	decisions decisionList
	// retractedAt is when crashes were last compared with heartbeats.
	retractedAt time.Time
}

// decisionList is the list that hosts are sent, computed once for all of them.
type decisionList struct {
	list    []decision
	digest  uint64
	machine *state.Machine
	version uint64
	madeAt  time.Time
}

// decision is about one request or part of prompts; untilMS is 0 if it is only watched, or a
// part on probation.
type decision struct {
	fingerprint uint64
	untilMS     int64
	part        bool
	probation   bool
}

func newQuarantineCoordinator(svc timer.Service) *quarantineCoordinator {
	return &quarantineCoordinator{
		svc:      svc,
		detector: quarantine.NewDetector(svc),
		granted:  map[quarantine.Fingerprint]grantRecord{},
		trials:   map[quarantine.Fingerprint]*earlyTrial{},
	}
}

// observe records the crashes and the served requests that an entry host reports.
func (c *quarantineCoordinator) observe(q *rpc.SyncRequest, quarantined func(f quarantine.Fingerprint) bool) {
	for _, e := range q.GetEnded() {
		f := quarantine.Fingerprint(e.GetFingerprint())
		c.detector.Add(quarantine.Crash{
			Fingerprint:    f,
			Endpoint:       e.GetEndpoint(),
			BeforeResponse: e.GetEarly(),
			After:          time.Duration(e.GetAfterMs()) * time.Millisecond,
		}, quarantined(f))
		if !q.GetReportsParts() && (e.GetEarly() || e.GetAfterMs() < uint32(maxUnseenAge.Milliseconds())) {
			c.detector.AddUnseenRequest(e.GetEndpoint(), fleet.LoadKey(q.GetHost().GetName()))
		}
	}
	if len(q.GetServed()) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range q.GetServed() {
		c.detector.Clear(quarantine.Fingerprint(f))
		c.served = append(c.served, quarantine.Fingerprint(f))
	}
}

// takeServed returns the watched requests that were served since the last call.
func (c *quarantineCoordinator) takeServed() []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.served
	c.served = nil
	return list
}

// beginTerm replaces what was reported by the evidence in the log if the term differs from the
// one before: hosts then report their crashes again. A leader that only lost its lease for
// a moment keeps them, since hosts don't report a crash twice in one term.
func (c *quarantineCoordinator) beginTerm(term uint64, machine *state.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		return
	}
	c.term = term
	c.termAt, c.termWall = c.svc.Now(), c.svc.Wall()
	c.served = nil
	c.survived = nil
	c.fallen = nil
	clear(c.granted)
	clear(c.trials)
	c.detector.Reset()
	c.detector.Restore(evidenceOf(machine.CrashEvidence(), c.svc))
	c.stored = storedEvidence{
		version: c.detector.EvidenceVersion(),
	}
}

// current returns the decisions that hosts are sent.
func (c *quarantineCoordinator) current(machine *state.Machine) decisionList {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.svc.Now()
	v := &c.decisions
	version := machine.QuarantineVersion()
	if v.machine != machine || v.version != version || now.Sub(v.madeAt) >= decisionsLifetime {
		c.decisions = decisionList{
			list:    c.makeList(machine),
			machine: machine,
			version: version,
			madeAt:  now,
		}
		c.decisions.digest = digestOf(c.decisions.list)
	}
	return c.decisions
}

// makeList returns the requests that are quarantined, and those that are watched:
// because of crashes, or because their quarantine has expired.
func (c *quarantineCoordinator) makeList(machine *state.Machine) []decision {
	var list []decision
	wall := c.svc.Wall().UnixMilli()
	known := map[uint64]bool{}
	for _, h := range machine.Quarantine() {
		known[h.Fingerprint] = true
		v := decision{
			fingerprint: h.Fingerprint,
			part:        h.Part,
			probation:   h.Part && h.UntilMS <= wall,
		}
		if h.UntilMS > wall {
			v.untilMS = h.UntilMS
		}
		list = append(list, v)
	}
	watch := func(fingerprints []quarantine.Fingerprint, part bool) {
		for _, f := range fingerprints {
			if !known[uint64(f)] {
				list = append(list, decision{
					fingerprint: uint64(f),
					part:        part,
				})
			}
		}
	}
	watch(c.detector.Watched(), false)
	watch(c.detector.WatchedParts(), true)
	return list
}

// digestOf returns a digest of the list; that of an empty list is 0.
func digestOf(list []decision) uint64 {
	if len(list) == 0 {
		return 0
	}
	buf := make([]byte, 0, 18*len(list))
	for _, v := range list {
		buf = binary.LittleEndian.AppendUint64(buf, v.fingerprint)
		buf = binary.LittleEndian.AppendUint64(buf, uint64(v.untilMS))
		buf = append(buf, flag(v.part), flag(v.probation))
	}
	return xxhash.Sum64(buf)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// observeCrashes records the crashes and served requests that a host reports.
func (s *Server) observeCrashes(q *rpc.SyncRequest, machine *state.Machine, term uint64) {
	s.coordinator.beginTerm(term, machine)
	if len(q.GetEnded()) == 0 && len(q.GetServed()) == 0 && len(q.GetCrashes()) == 0 && len(q.GetSurvivals()) == 0 {
		return
	}
	s.coordinator.observeParts(q, quarantinedParts(machine))
	quarantined := quarantinedAt(machine, s.cfg.Timer.Wall())
	s.coordinator.observe(q, func(f quarantine.Fingerprint) bool { return quarantined[uint64(f)] })
}

// quarantinedAt returns the requests in the log's quarantine: true for those that are
// quarantined at the given time of day, false for those whose quarantine has expired.
func quarantinedAt(machine *state.Machine, wall time.Time) map[uint64]bool {
	quarantined := map[uint64]bool{}
	for _, h := range machine.Quarantine() {
		quarantined[h.Fingerprint] = h.UntilMS > wall.UnixMilli()
	}
	return quarantined
}

// addDecisions adds the decisions to a reply if the host holds different ones.
func (s *Server) addDecisions(q *rpc.SyncRequest, reply *rpc.SyncReply, machine *state.Machine) {
	v := s.coordinator.current(machine)
	reply.SuspectsDigest = v.digest
	if q.GetSuspectsDigest() == v.digest {
		return
	}
	wall := s.cfg.Timer.Wall().UnixMilli()
	for _, d := range v.list {
		left := max(0, d.untilMS-wall)
		reply.Suspects = append(reply.Suspects, &rpc.Suspect{
			Fingerprint: d.fingerprint,
			HeldMs:      uint32(min(left, math.MaxUint32)),
			Part:        d.part,
			Probation:   d.probation,
		})
	}
}

// runQuarantine regularly decides, while this replica leads, which requests to
// quarantine and which to release.
func (s *Server) runQuarantine(ctx context.Context) {
	timer.Loop(ctx, s.cfg.Timer, quarantineInterval, func(time.Time) { s.updateQuarantine(ctx) })
}

func (s *Server) updateQuarantine(ctx context.Context) {
	machine, term, _ := s.leadership.Leads(ctx)
	if machine == nil {
		return
	}
	s.coordinator.beginTerm(term, machine)
	s.retractCrashes(ctx)
	quarantined := quarantinedAt(machine, s.cfg.Timer.Wall())
	before := func(f quarantine.Fingerprint) bool {
		_, known := quarantined[uint64(f)]
		return known
	}
	for _, finding := range s.coordinator.detector.Detect(before) {
		if finding.Part {
			s.quarantinePart(ctx, finding)
		} else {
			s.quarantineRequest(ctx, finding)
		}
	}
	for _, f := range s.coordinator.takeServed() {
		if stillQuarantined, known := quarantined[uint64(f)]; known && !stillQuarantined {
			s.releaseRequest(ctx, f)
		}
	}
	s.releaseParts(ctx)
	parts := quarantinedParts(machine)
	for _, finding := range s.coordinator.takeFailed(parts) {
		s.quarantinePart(ctx, finding)
	}
	s.coordinator.expireTrials(parts)
	s.storeEvidence(ctx)
}

// releaseRequest releases a request that was served after its quarantine had expired.
func (s *Server) releaseRequest(ctx context.Context, f quarantine.Fingerprint) {
	err := s.proposeDecision(ctx, &rpc.Quarantine{
		Fingerprint: uint64(f),
		Release:     true,
	})
	s.cfg.Log.Event(eventlog.RequestReleased, eventlog.Str("fingerprint", f.String()), eventlog.Str("by", "control"), eventlog.Err(err))
}

// quarantineRequest quarantines a request. If the proposal fails, the crashes are added
// again, so that the request is evaluated once more.
func (s *Server) quarantineRequest(ctx context.Context, finding quarantine.Finding) {
	err := s.proposeDecision(ctx, &rpc.Quarantine{
		Fingerprint: uint64(finding.Fingerprint),
	})
	s.cfg.Log.Event(eventlog.RequestHeld, eventlog.Str("fingerprint", finding.Fingerprint.String()), eventlog.Str("by", "control"),
		eventlog.Int("ends", int64(len(finding.Crashes))), eventlog.Err(err))
	if err == nil {
		return
	}
	for _, e := range finding.Crashes {
		s.coordinator.detector.Add(e, false)
	}
}

// proposeDecision proposes a decision to the log.
func (s *Server) proposeDecision(ctx context.Context, q *rpc.Quarantine) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.propose(ctx, &rpc.Command{
		UnixMs: s.cfg.Timer.Wall().UnixMilli(),
		Kind: &rpc.Command_Quarantine{
			Quarantine: q,
		},
	})
	return err
}
