package fleetentry

import (
	"math"
	"time"

	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Quarantine holds this host's knowledge of requests that crash endpoints.
type Quarantine interface {
	// Unreported returns the crashes and the served requests that the leader of a term has
	// not acknowledged yet.
	Unreported(term uint64) (crashes []quarantine.Crash, served []quarantine.Fingerprint)
	// Acknowledge records that the leader of a term received these crashes, and the first
	// served of the served requests that Unreported returned.
	Acknowledge(term uint64, crashes []quarantine.Crash, served int)
	// SetDecisions replaces the decisions of the control hosts, and Digest returns the
	// digest of those held.
	SetDecisions(list []quarantine.Decision, digest uint64)
	Digest() uint64

	// UnreportedParts returns what the leader of a term wasn't told of parts of prompts yet,
	// and AcknowledgeParts records that it received that.
	UnreportedParts(term uint64) quarantine.PartReport
	AcknowledgeParts(term uint64, r quarantine.PartReport)
	// ConfirmTracking records that the leader detects parts, and Grant lets one request with
	// these parts pass.
	ConfirmTracking()
	Grant(parts []quarantine.Fingerprint)
}

// syncReport is the part of a Sync request that is acknowledged once the call succeeds.
type syncReport struct {
	crashes []quarantine.Crash
	served  int
	parts   quarantine.PartReport
	limits  []permit.LimitReport
	full    map[uint32]time.Time
}

// addQuarantineReport adds the crashes and served requests that the leader of the last
// known term has not acknowledged.
func (c *ControlClient) addQuarantineReport(q *rpc.SyncRequest) {
	crashes, served := c.enforcer.Unreported(termOf(c.epoch))
	for _, e := range crashes {
		q.Ended = append(q.Ended, &rpc.EndedSend{
			Fingerprint: uint64(e.Fingerprint),
			Endpoint:    e.Endpoint,
			Early:       e.BeforeResponse,
			AfterMs:     uint32(min(e.After.Milliseconds(), math.MaxUint32)),
		})
	}
	for _, s := range served {
		q.Served = append(q.Served, uint64(s))
	}
	q.SuspectsDigest = c.enforcer.Digest()
	c.inFlight = syncReport{
		crashes: crashes,
		served:  len(served),
		parts:   c.addPartReport(q),
	}
}

// applyQuarantine acknowledges what the call reported and installs the decisions of its
// reply, unless their digest equals that of the decisions held.
func (c *ControlClient) applyQuarantine(reply *rpc.SyncReply) {
	c.enforcer.Acknowledge(termOf(reply.GetEpoch()), c.inFlight.crashes, c.inFlight.served)
	c.applyPartReply(reply)
	if reply.GetSuspectsDigest() == c.enforcer.Digest() {
		return
	}
	list := make([]quarantine.Decision, 0, len(reply.GetSuspects()))
	for _, s := range reply.GetSuspects() {
		list = append(list, quarantine.Decision{
			Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
			Duration:    time.Duration(s.GetHeldMs()) * time.Millisecond,
			Part:        s.GetPart(),
			Probation:   s.GetProbation(),
		})
	}
	c.enforcer.SetDecisions(list, reply.GetSuspectsDigest())
}

// termOf returns the leader's term of an epoch. An epoch is twice the term, plus one once
// the term has settled.
func termOf(epoch uint64) uint64 {
	return epoch / 2
}
