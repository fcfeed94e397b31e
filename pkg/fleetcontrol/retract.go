package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// retractInterval is the shortest time between two comparisons of crashes with heartbeats. One
// takes 0.5 ms for 3,200 endpoints.
const retractInterval = 400 * time.Millisecond

// maxHeartbeatDelay is how long after a crash a heartbeat that the endpoint sent before it may
// arrive. A later one shows that the endpoint lives.
const maxHeartbeatDelay = 700 * time.Millisecond

// retractCrashes takes back the crashes of endpoints that sent a heartbeat later, and releases what
// doesn't stand without these. It confirms those of endpoints whose next heartbeat doesn't come.
func (s *Server) retractCrashes(ctx context.Context) {
	s.coordinator.retract(s.cfg.Heartbeat, func() []fleet.Endpoint {
		list, _ := s.table.ChangesSince(0)
		return list
	})
	for _, finding := range s.coordinator.takeFallen() {
		err := s.proposeDecision(ctx, &rpc.Quarantine{
			Fingerprint: uint64(finding.Fingerprint),
			Release:     true,
		})
		event, name := eventlog.RequestReleased, "fingerprint"
		if finding.Part {
			event, name = eventlog.PartReleased, "part"
		}
		s.cfg.Log.Event(event, eventlog.Str(name, finding.Fingerprint.String()), eventlog.Str("by", "control"),
			eventlog.Str("why", "its endpoints live"), eventlog.Err(err))
		if err != nil {
			s.coordinator.addFallen(finding)
		}
	}
}

// retract takes back the crashes of the listed endpoints that were heard from later, and confirms
// those of the ones that weren't, although they send a heartbeat every interval. An endpoint that
// doesn't report its start may have restarted under the same id.
func (c *quarantineCoordinator) retract(interval time.Duration, list func() []fleet.Endpoint) {
	crashed := c.detector.Crashed()
	if len(crashed) == 0 || !c.retractDue() {
		return
	}
	now, termAt := c.svc.Now(), c.termBegan()
	endpoints := list()
	confirmAfter := maxHeartbeatDelay + interval + propagateInterval
	var lost []fleet.Endpoint
	for _, e := range endpoints {
		at, ok := crashed[fleet.LoadKey(e.ID)]
		heard := e.LastHeartbeat.Sub(at) >= maxHeartbeatDelay
		switch {
		case !ok || e.Restored:
		case heard && e.StartedAt != 0 && !e.Gone:
			c.addFallen(c.detector.Retract(fleet.LoadKey(e.ID), e.LastHeartbeat)...)
		case !heard && now.Sub(at) >= confirmAfter && now.Sub(termAt) >= confirmAfter:
			lost = append(lost, e)
		}
	}
	if len(lost) == 0 {
		return
	}
	heard := lastHeard(endpoints, crashed)
	for i := range lost {
		key := fleet.LoadKey(lost[i].ID)
		c.detector.Confirm(key, heard[groupOf(&lost[i])].Sub(crashed[key]) >= maxHeartbeatDelay)
	}
}

// termBegan returns when this leader's term began. The leader received few heartbeats before.
func (c *quarantineCoordinator) termBegan() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.termAt
}

// endpointGroup is the endpoints of one service in one failure domain.
type endpointGroup struct {
	service string
	domain  string
}

func groupOf(e *fleet.Endpoint) endpointGroup {
	return endpointGroup{
		service: e.Service,
		domain:  e.Domain,
	}
}

// lastHeard returns when an endpoint of each group was last heard from, other than those that
// crashed and those that have come to their addresses.
func lastHeard(list []fleet.Endpoint, crashed map[uint32]time.Time) map[endpointGroup]time.Time {
	addresses := map[string]bool{}
	for i := range list {
		if _, ok := crashed[fleet.LoadKey(list[i].ID)]; ok {
			addresses[list[i].Address] = true
		}
	}
	out := map[endpointGroup]time.Time{}
	for i := range list {
		e := &list[i]
		if !addresses[e.Address] && !e.Restored && e.LastHeartbeat.After(out[groupOf(e)]) {
			out[groupOf(e)] = e.LastHeartbeat
		}
	}
	return out
}

// addFallen adds findings that don't stand any more, to be released.
func (c *quarantineCoordinator) addFallen(list ...quarantine.Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fallen = append(c.fallen, list...)
}

// takeFallen returns the findings that were added since the last call.
func (c *quarantineCoordinator) takeFallen() []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.fallen
	c.fallen = nil
	return list
}

func (c *quarantineCoordinator) retractDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.svc.Now()
	if now.Sub(c.retractedAt) < retractInterval {
		return false
	}
	c.retractedAt = now
	return true
}
