package fleetcontrol

import (
	"context"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// grantInterval is the shortest time between two grants for a part on probation: by then
	// the request that was granted has been sent, and how it ended is known. It doubles, up
	// to maxGrantInterval, while nothing becomes known.
	grantInterval    = 5 * time.Second
	maxGrantInterval = 10 * time.Minute
	// evidenceInterval is the shortest time between two entries of crash evidence in the log.
	evidenceInterval = 400 * time.Millisecond
)

// quarantinedParts returns the parts in the log's quarantine, by fingerprint.
func quarantinedParts(machine *state.Machine) map[quarantine.Fingerprint]state.QuarantinedRequest {
	out := map[quarantine.Fingerprint]state.QuarantinedRequest{}
	for _, q := range machine.Quarantine() {
		if q.Part {
			out[quarantine.Fingerprint(q.Fingerprint)] = q
		}
	}
	return out
}

// observeParts records the crashes and survivals that an entry host reports.
func (c *quarantineCoordinator) observeParts(q *rpc.SyncRequest, parts map[quarantine.Fingerprint]state.QuarantinedRequest) {
	now, wall := c.svc.Now(), c.svc.Wall()
	stateOf := func(f quarantine.Fingerprint) quarantine.PartState {
		p, known := parts[f]
		switch {
		case !known:
			return quarantine.PartUnknown
		case p.UntilMS > wall.UnixMilli():
			return quarantine.PartQuarantined
		}
		return quarantine.PartProbation
	}
	reporter := fleet.LoadKey(q.GetHost().GetName())
	for _, e := range q.GetCrashes() {
		crash := crashReported(e, now)
		for _, p := range crash.Parts {
			c.noteTrialCrash(p.Part, crash.At)
		}
		c.detector.AddEndpointCrash(crash, reporter, stateOf)
	}
	for _, v := range q.GetSurvivals() {
		f := quarantine.Fingerprint(v.GetPart())
		since := c.quarantinedSince(f, now.Add(time.UnixMilli(parts[f].SinceMS).Sub(wall)))
		survived := c.detector.Survive(survivalReported(v, now), since)
		switch {
		case stateOf(f) == quarantine.PartUnknown:
		case survived:
			c.mu.Lock()
			c.survived = append(c.survived, f)
			c.mu.Unlock()
		case stateOf(f) == quarantine.PartQuarantined:
			c.noteSurvivor(f, parts[f])
		}
	}
}

// quarantinedSince returns when a part was quarantined, or a later time at which a request with it
// was granted: the time of day may have stepped back since it was quarantined.
func (c *quarantineCoordinator) quarantinedSince(part quarantine.Fingerprint, since time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g, ok := c.granted[part]; ok && g.first.Before(since) {
		return g.first
	}
	return since
}

func crashReported(e *rpc.EndpointCrash, now time.Time) quarantine.EndpointCrash {
	out := quarantine.EndpointCrash{
		Endpoint: e.GetEndpoint(),
		Domain:   e.GetDomain(),
		At:       now.Add(-time.Duration(e.GetMsAgo()) * time.Millisecond),
	}
	for _, p := range e.GetParts() {
		out.Parts = append(out.Parts, quarantine.PartCrash{
			Part:     quarantine.Fingerprint(p.GetPart()),
			Requests: int(p.GetRequests()),
			Fresh:    int(p.GetFresh()),

			TotalWriting: time.Duration(p.GetTotalWritingMs()) * time.Millisecond,
			Request:      quarantine.Fingerprint(p.GetRequest()),
			Writing:      time.Duration(p.GetWritingMs()) * time.Millisecond,
			Survival:     survivalReported(p.GetSurvival(), now),
		})
	}
	return out
}

func survivalReported(v *rpc.PartSurvival, now time.Time) quarantine.Survival {
	out := quarantine.Survival{
		Part: quarantine.Fingerprint(v.GetPart()),
	}
	if ms := v.GetWrittenMsAgo(); ms > 0 {
		out.WrittenAt = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	if ms := v.GetAnsweredMsAgo(); ms > 0 {
		out.AnsweredAt = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	return out
}

// takeSurvived returns the quarantined parts that requests survived with since the last call.
func (c *quarantineCoordinator) takeSurvived() []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.survived
	c.survived = nil
	return list
}

// grantRecord is the grants for a part since its quarantine expired at untilMS.
type grantRecord struct {
	untilMS  int64
	first    time.Time // when the first grant was given
	interval time.Duration
	next     time.Time // when the next grant may be given
}

// grant reports whether one request that has these parts on probation may be sent now.
func (c *quarantineCoordinator) grant(wanted []quarantine.Fingerprint, parts map[quarantine.Fingerprint]state.QuarantinedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, wall := c.svc.Now(), c.svc.Wall().UnixMilli()
	for _, f := range wanted {
		p, known := parts[f]
		if !known || p.UntilMS > wall || c.failedTrial(f, p) {
			return false
		}
		if g, ok := c.granted[f]; ok && g.untilMS == p.UntilMS && now.Before(g.next) {
			return false
		}
	}
	for _, f := range wanted {
		g := c.granted[f]
		if g.untilMS != parts[f].UntilMS {
			g = grantRecord{
				untilMS: parts[f].UntilMS,
				first:   now,
			}
		}
		g.interval = min(max(grantInterval, 2*g.interval), maxGrantInterval)
		g.next = now.Add(g.interval)
		c.granted[f] = g
	}
	return len(wanted) > 0
}

// addGrants lets a host send one request with parts on probation.
func (s *Server) addGrants(q *rpc.SyncRequest, reply *rpc.SyncReply, machine *state.Machine) {
	reply.DetectsParts = true
	s.addEarlyGrants(q, reply, machine)
	if len(q.GetWantedParts()) == 0 {
		return
	}
	wanted := make([]quarantine.Fingerprint, 0, len(q.GetWantedParts()))
	for _, f := range q.GetWantedParts() {
		wanted = append(wanted, quarantine.Fingerprint(f))
	}
	if !s.coordinator.grant(wanted, quarantinedParts(machine)) {
		return
	}
	reply.GrantedParts = append(reply.GrantedParts, q.GetWantedParts()...)
	s.cfg.Log.Event(eventlog.PartTried, eventlog.Str("parts", formatParts(wanted)), eventlog.Str("by", q.GetHost().GetName()))
}

// addEarlyGrants lets a host send one request with a quarantined part if requests with it survived
// there, or if the host refuses nearly all requests.
func (s *Server) addEarlyGrants(q *rpc.SyncRequest, reply *rpc.SyncReply, machine *state.Machine) {
	if len(q.GetWantedParts()) == 0 && len(q.GetSurvivals()) == 0 {
		return
	}
	parts := quarantinedParts(machine)
	try := func(part uint64, wanted bool) {
		f := quarantine.Fingerprint(part)
		if p, ok := parts[f]; ok && s.coordinator.grantEarly(f, p, wanted) {
			reply.GrantedParts = append(reply.GrantedParts, part)
			s.cfg.Log.Event(eventlog.PartTried, eventlog.Str("parts", f.String()), eventlog.Str("by", q.GetHost().GetName()))
		}
	}
	for _, v := range q.GetSurvivals() {
		try(v.GetPart(), false)
	}
	for _, part := range q.GetWantedParts() {
		try(part, true)
	}
}

func formatParts(parts []quarantine.Fingerprint) string {
	out := make([]string, 0, len(parts))
	for _, f := range parts {
		out = append(out, f.String())
	}
	return strings.Join(out, " ")
}

// quarantinePart quarantines a part of prompts.
func (s *Server) quarantinePart(ctx context.Context, finding quarantine.Finding) {
	err := s.proposeDecision(ctx, &rpc.Quarantine{
		Fingerprint: uint64(finding.Fingerprint),
		Part:        true,
		Shared:      finding.Shared,
	})
	shared := "no"
	if finding.Shared {
		shared = "yes"
	}
	s.cfg.Log.Event(eventlog.PartHeld, eventlog.Str("part", finding.Fingerprint.String()), eventlog.Str("by", "control"),
		eventlog.Int("ends", int64(len(finding.Endpoints))), eventlog.Str("shared", shared), eventlog.Err(err))
	if err != nil {
		s.coordinator.detector.PutBack(finding)
	}
}

// releaseParts releases the parts that requests survived with.
func (s *Server) releaseParts(ctx context.Context) {
	for _, f := range s.coordinator.takeSurvived() {
		err := s.proposeDecision(ctx, &rpc.Quarantine{
			Fingerprint: uint64(f),
			Release:     true,
		})
		s.cfg.Log.Event(eventlog.PartReleased, eventlog.Str("part", f.String()), eventlog.Str("by", "control"), eventlog.Err(err))
	}
}

// storedEvidence is the crash evidence that was last proposed to the log.
type storedEvidence struct {
	version uint64
	at      time.Time
}

// storeEvidence proposes the crash evidence to the log if it has changed.
func (s *Server) storeEvidence(ctx context.Context) {
	evidence, ok := s.coordinator.evidenceToStore()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.propose(ctx, &rpc.Command{
		UnixMs: s.cfg.Timer.Wall().UnixMilli(),
		Kind: &rpc.Command_CrashEvidence{
			CrashEvidence: evidence,
		},
	})
	if err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "crash evidence isn't stored"), eventlog.Err(err))
	}
}

// evidenceToStore returns the crash evidence if it has changed since it was stored last, and
// notes that it is stored now.
func (c *quarantineCoordinator) evidenceToStore() (*rpc.CrashEvidence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.svc.Now()
	if c.detector.EvidenceVersion() == c.stored.version || now.Sub(c.stored.at) < evidenceInterval {
		return nil, false
	}
	e, version := c.detector.Evidence()
	c.stored.version = version
	c.stored.at = now
	return encodeEvidence(e, c.svc), true
}

func encodeEvidence(e quarantine.Evidence, svc timer.Service) *rpc.CrashEvidence {
	now, wall := svc.Now(), svc.Wall()
	out := &rpc.CrashEvidence{}
	for _, c := range e.Requests {
		out.Requests = append(out.Requests, &rpc.RequestCrash{
			Fingerprint:    uint64(c.Fingerprint),
			Endpoint:       c.Endpoint,
			BeforeResponse: c.BeforeResponse,
			AfterMs:        uint32(c.After.Milliseconds()),
		})
	}
	for _, p := range e.Parts {
		part := &rpc.PartEvidence{
			Part:     uint64(p.Part),
			Survived: p.Survived,
		}
		for _, c := range p.Crashes {
			part.Crashes = append(part.Crashes, &rpc.PartCrashEvidence{
				Endpoint:  c.Endpoint,
				Domain:    c.Domain,
				UnixMs:    wall.Add(c.At.Sub(now)).UnixMilli(),
				WritingMs: uint32(c.Writing.Milliseconds()),
				Requests:  uint32(c.Requests),
				Fresh:     uint32(c.Fresh),

				TotalWritingMs: uint32(c.TotalWriting.Milliseconds()),
				Request:        uint64(c.Request),
			})
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}

// evidenceOf decodes crash evidence.
func evidenceOf(e *rpc.CrashEvidence, svc timer.Service) quarantine.Evidence {
	now, wall := svc.Now(), svc.Wall()
	out := quarantine.Evidence{}
	for _, c := range e.GetRequests() {
		out.Requests = append(out.Requests, quarantine.Crash{
			Fingerprint:    quarantine.Fingerprint(c.GetFingerprint()),
			Endpoint:       c.GetEndpoint(),
			BeforeResponse: c.GetBeforeResponse(),
			After:          time.Duration(c.GetAfterMs()) * time.Millisecond,
		})
	}
	for _, p := range e.GetParts() {
		part := quarantine.PartEvidence{
			Part:     quarantine.Fingerprint(p.GetPart()),
			Survived: p.GetSurvived(),
		}
		for _, c := range p.GetCrashes() {
			part.Crashes = append(part.Crashes, quarantine.PartCrashEvidence{
				Endpoint: c.GetEndpoint(),
				Domain:   c.GetDomain(),
				At:       now.Add(time.UnixMilli(c.GetUnixMs()).Sub(wall)),
				Writing:  time.Duration(c.GetWritingMs()) * time.Millisecond,
				Requests: int(c.GetRequests()),
				Fresh:    int(c.GetFresh()),

				TotalWriting: time.Duration(c.GetTotalWritingMs()) * time.Millisecond,
				Request:      quarantine.Fingerprint(c.GetRequest()),
			})
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}
