package fleetcontrol

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

func crashRecord(s *modelStream, d *modelSend, now time.Time) (quarantine.Crash, quarantine.EndpointCrash) {
	writing := time.Duration(0)
	if !d.firstAt.IsZero() {
		writing = d.lastAt.Sub(d.firstAt)
	}
	crash := quarantine.Crash{Fingerprint: s.request, Endpoint: fleet.LoadKey(d.id), BeforeResponse: d.firstAt.IsZero(), After: now.Sub(d.sentAt)}
	parts := quarantine.EndpointCrash{Endpoint: crash.Endpoint, Domain: crash.Endpoint % 3, At: now}
	for _, p := range s.parts {
		one := quarantine.PartCrash{Part: p, Requests: 1, TotalWriting: writing, Request: s.request, Writing: writing}
		if writing < quarantine.SurvivalTime {
			one.Fresh = 1
		}
		parts.Parts = append(parts.Parts, one)
	}
	return crash, parts
}

func (m *evidenceModel) recordCrash(s *modelStream, d *modelSend) {
	crash, parts := crashRecord(s, d, m.clock.Now())
	s.host.enforcer.RecordEndpointCrash(parts)
	s.host.enforcer.RecordCrash(crash)
	confirm(s.host, d.id)
}

// confirm records the crash of an incarnation for the sends that were given up while it was silent.
func confirm(h *modelHost, id string) {
	for _, one := range h.silences.Take(id) {
		h.enforcer.RecordEndpointCrash(one.Parts)
		h.enforcer.RecordCrash(one.Request)
	}
}

// review compares what a host gave up with the leader's endpoints, as the host's list holds them.
func (m *evidenceModel) review(h *modelHost) {
	for _, one := range h.silences.List() {
		own, startedAt := fleet.SplitIncarnation(one.ID)
		for _, e := range m.endpoints {
			if e.name == own && e.startedAt > startedAt {
				confirm(h, one.ID)
			}
		}
	}
}

// syncHost makes one call of a host to the leader.
func (m *evidenceModel) syncHost(h *modelHost) {
	now := m.clock.Now()
	q := &rpc.SyncRequest{Host: &rpc.FleetHost{Name: h.name}, ReportsParts: true, SuspectsDigest: h.enforcer.Digest()}
	crashes, served := h.enforcer.Unreported(1)
	for _, c := range crashes {
		q.Ended = append(q.Ended, &rpc.EndedSend{Fingerprint: uint64(c.Fingerprint), Endpoint: c.Endpoint, Early: c.BeforeResponse, AfterMs: uint32(c.After.Milliseconds())})
	}
	report := h.enforcer.UnreportedParts(1)
	for _, c := range report.Crashes {
		out := &rpc.EndpointCrash{Endpoint: c.Endpoint, Domain: c.Domain, MsAgo: uint32(now.Sub(c.At).Milliseconds())}
		for _, p := range c.Parts {
			out.Parts = append(out.Parts, &rpc.PartCrash{
				Part: uint64(p.Part), Requests: uint32(p.Requests), Fresh: uint32(p.Fresh), TotalWritingMs: uint32(p.TotalWriting.Milliseconds()),
				Request: uint64(p.Request), WritingMs: uint32(p.Writing.Milliseconds()), Survival: survivalToWire(p.Survival, now),
			})
		}
		q.Crashes = append(q.Crashes, out)
	}
	for _, v := range report.Survivals {
		q.Survivals = append(q.Survivals, survivalToWire(v, now))
	}
	for _, p := range report.Wanted {
		q.WantedParts = append(q.WantedParts, uint64(p))
	}
	reply := m.answer(q)
	h.enforcer.Acknowledge(1, crashes, len(served))
	h.enforcer.AcknowledgeParts(1, report)
	h.enforcer.ConfirmTracking()
	granted := []quarantine.Fingerprint{}
	for _, p := range reply.GetGrantedParts() {
		granted = append(granted, quarantine.Fingerprint(p))
	}
	h.enforcer.Grant(granted)
	if reply.GetSuspectsDigest() == h.enforcer.Digest() {
		return
	}
	list := []quarantine.Decision{}
	for _, d := range reply.GetSuspects() {
		list = append(list, quarantine.Decision{
			Fingerprint: quarantine.Fingerprint(d.GetFingerprint()), Duration: time.Duration(d.GetHeldMs()) * time.Millisecond, Part: d.GetPart(), Probation: d.GetProbation(),
		})
	}
	h.enforcer.SetDecisions(list, reply.GetSuspectsDigest())
}

func survivalToWire(v quarantine.Survival, now time.Time) *rpc.PartSurvival {
	out := &rpc.PartSurvival{Part: uint64(v.Part)}
	if !v.WrittenAt.IsZero() {
		out.WrittenMsAgo = uint32(max(1, now.Sub(v.WrittenAt).Milliseconds()))
	}
	if !v.AnsweredAt.IsZero() {
		out.AnsweredMsAgo = uint32(max(1, now.Sub(v.AnsweredAt).Milliseconds()))
	}
	return out
}
