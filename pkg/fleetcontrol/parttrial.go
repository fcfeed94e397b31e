package fleetcontrol

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/state"
)

// earlyTrialAge is how long a part has been quarantined before a request with it may be tried: by
// then hosts have the decision, and have reported the survivals from before it.
const earlyTrialAge = time.Second

// earlyTrial is the trials of a part in its first quarantine, which ends at untilMS, before that
// expires. One that crashes its endpoint is the last, and takes the place of the one on probation.
type earlyTrial struct {
	untilMS  int64
	survived bool // a request that was sent before the last crash survived after the decision
	failed   bool
	interval time.Duration
	grantAt  time.Time // of the last one; zero if there was none
}

// earlyTrialOf returns the trials of a part in its current quarantine. The caller holds mu.
func (c *quarantineCoordinator) earlyTrialOf(f quarantine.Fingerprint, p state.QuarantinedRequest) *earlyTrial {
	t := c.trials[f]
	if t == nil || t.untilMS != p.UntilMS {
		t = &earlyTrial{
			untilMS: p.UntilMS,
		}
		c.trials[f] = t
	}
	return t
}

// noteSurvivor records that a request with a quarantined part survived that was sent before the last
// crash. It may have begun before the part became deadly, so it only makes a trial due.
func (c *quarantineCoordinator) noteSurvivor(f quarantine.Fingerprint, p state.QuarantinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.svc.Wall().Sub(time.UnixMilli(p.SinceMS)) >= earlyTrialAge {
		c.earlyTrialOf(f, p).survived = true
	}
}

// noteTrialCrash records that a quarantined part was at a crash.
func (c *quarantineCoordinator) noteTrialCrash(f quarantine.Fingerprint, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.trials[f]; t != nil && !t.grantAt.IsZero() && at.After(t.grantAt) {
		t.failed = true
	}
}

// failedTrial reports whether the part crashed an endpoint in an early trial of its current
// quarantine. The caller holds mu.
func (c *quarantineCoordinator) failedTrial(f quarantine.Fingerprint, p state.QuarantinedRequest) bool {
	t := c.trials[f]
	return t != nil && t.untilMS == p.UntilMS && t.failed
}

// takeFailed returns the parts whose quarantine has expired and that crashed an endpoint in an
// early trial, as findings.
func (c *quarantineCoordinator) takeFailed(parts map[quarantine.Fingerprint]state.QuarantinedRequest) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.svc.Wall().UnixMilli()
	var out []quarantine.Finding
	for f, p := range parts {
		if p.UntilMS <= wall && c.failedTrial(f, p) {
			out = append(out, quarantine.Finding{
				Fingerprint: f,
				Part:        true,
				Shared:      p.Shared,
			})
		}
	}
	return out
}

// grantEarly reports whether one request with a quarantined part may be tried now, and notes that. A
// host that wants this refuses nearly all requests.
func (c *quarantineCoordinator) grantEarly(f quarantine.Fingerprint, p state.QuarantinedRequest, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, wall := c.svc.Now(), c.svc.Wall()
	if p.Times > 1 || p.UntilMS <= wall.UnixMilli() || wall.Sub(time.UnixMilli(p.SinceMS)) < earlyTrialAge {
		return false
	}
	if time.UnixMilli(p.SinceMS).Before(c.termWall) && now.Sub(c.termAt) < grantInterval {
		return false // the leader before may have a trial under way
	}
	t := c.earlyTrialOf(f, p)
	if t.failed || !t.survived && !wanted || !t.grantAt.IsZero() && now.Sub(t.grantAt) < t.interval {
		return false
	}
	t.interval = min(max(grantInterval, 2*t.interval), maxGrantInterval)
	t.grantAt = now
	return true
}

// expireTrials drops the trials of parts that aren't quarantined any more.
func (c *quarantineCoordinator) expireTrials(parts map[quarantine.Fingerprint]state.QuarantinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for f, t := range c.trials {
		if parts[f].UntilMS != t.untilMS {
			delete(c.trials, f)
		}
	}
}
