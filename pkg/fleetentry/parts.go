package fleetentry

import (
	"math"
	"time"

	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// addPartReport adds the crashes and survivals of parts of prompts that the leader of the last
// known term has not acknowledged.
func (c *ControlClient) addPartReport(q *rpc.SyncRequest) quarantine.PartReport {
	now := c.cfg.Timer.Now()
	report := c.enforcer.UnreportedParts(termOf(c.epoch))
	q.ReportsParts = true
	for i := range report.Crashes {
		q.Crashes = append(q.Crashes, encodeCrash(now, &report.Crashes[i]))
	}
	for _, v := range report.Survivals {
		q.Survivals = append(q.Survivals, encodeSurvival(now, v))
	}
	for _, p := range report.Wanted {
		q.WantedParts = append(q.WantedParts, uint64(p))
	}
	return report
}

func encodeCrash(now time.Time, e *quarantine.EndpointCrash) *rpc.EndpointCrash {
	out := &rpc.EndpointCrash{
		Endpoint: e.Endpoint,
		Domain:   e.Domain,
		MsAgo:    msAgo(now, e.At),
	}
	for _, p := range e.Parts {
		one := &rpc.PartCrash{
			Part:     uint64(p.Part),
			Requests: uint32(p.Requests),
			Fresh:    uint32(p.Fresh),

			TotalWritingMs: uint32(p.TotalWriting.Milliseconds()),
			Request:        uint64(p.Request),
			WritingMs:      uint32(p.Writing.Milliseconds()),
		}
		if p.Survival.Known() {
			one.Survival = encodeSurvival(now, p.Survival)
		}
		out.Parts = append(out.Parts, one)
	}
	return out
}

func encodeSurvival(now time.Time, v quarantine.Survival) *rpc.PartSurvival {
	out := &rpc.PartSurvival{
		Part: uint64(v.Part),
	}
	if !v.WrittenAt.IsZero() {
		out.WrittenMsAgo = max(1, msAgo(now, v.WrittenAt))
	}
	if !v.AnsweredAt.IsZero() {
		out.AnsweredMsAgo = max(1, msAgo(now, v.AnsweredAt))
	}
	return out
}

func msAgo(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

// applyPartReply acknowledges what the call reported of parts, and takes the grants of its
// reply.
func (c *ControlClient) applyPartReply(reply *rpc.SyncReply) {
	c.enforcer.AcknowledgeParts(termOf(reply.GetEpoch()), c.inFlight.parts)
	if reply.GetDetectsParts() {
		c.enforcer.ConfirmTracking()
	}
	if len(reply.GetGrantedParts()) == 0 {
		return
	}
	granted := make([]quarantine.Fingerprint, 0, len(reply.GetGrantedParts()))
	for _, p := range reply.GetGrantedParts() {
		granted = append(granted, quarantine.Fingerprint(p))
	}
	c.enforcer.Grant(granted)
}
