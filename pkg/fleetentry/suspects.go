package fleetentry

import (
	"math"
	"time"

	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Quarantine is what this host knows of requests under which endpoints ended.
type Quarantine interface {
	// Unreported returns what the leader of a term must be told.
	Unreported(term uint64) (crashes []quarantine.Crash, served []quarantine.Fingerprint)
	// Acknowledge notes that the leader of a term took that.
	Acknowledge(term uint64, ends []quarantine.Crash, served int)
	// SetDecisions installs what the control hosts say, and Digest returns its digest.
	SetDecisions(list []quarantine.Decision, digest uint64)
	Digest() uint64
}

// syncReport is what one call tells of suspicions and limits.
type syncReport struct {
	crashes []quarantine.Crash
	served  int
	limits  []permit.LimitReport
}

// addQuarantineReport adds to a call what the leader that answered last wasn't told.
func (c *ControlClient) addQuarantineReport(q *rpc.SyncRequest) {
	crashes, served := c.quarantine.Unreported(termOf(c.epoch))
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
	q.SuspectsDigest = c.quarantine.Digest()
	c.inFlight = syncReport{
		crashes: crashes,
		served:  len(served),
	}
}

// applyQuarantine notes that a call was taken, and installs what it brings.
func (c *ControlClient) applyQuarantine(reply *rpc.SyncReply) {
	c.quarantine.Acknowledge(termOf(reply.GetEpoch()), c.inFlight.crashes, c.inFlight.served)
	if reply.GetSuspectsDigest() == c.quarantine.Digest() {
		return
	}
	list := make([]quarantine.Decision, 0, len(reply.GetSuspects()))
	for _, s := range reply.GetSuspects() {
		list = append(list, quarantine.Decision{
			Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
			HoldTime:    time.Duration(s.GetHeldMs()) * time.Millisecond,
		})
	}
	c.quarantine.SetDecisions(list, reply.GetSuspectsDigest())
}

// termOf returns the leader's term of an epoch (fleetcontrol.epochOf).
func termOf(epoch uint64) uint64 {
	return epoch / 2
}
