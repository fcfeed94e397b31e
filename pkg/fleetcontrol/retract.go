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
// doesn't stand without these.
func (s *Server) retractCrashes(ctx context.Context) {
	s.coordinator.retract(func() []fleet.Endpoint {
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

// retract takes back the crashes of the listed endpoints that were heard from later. An endpoint
// that doesn't report its start may have restarted under the same id.
func (c *quarantineCoordinator) retract(list func() []fleet.Endpoint) {
	crashed := c.detector.Crashed()
	if len(crashed) == 0 || !c.retractDue() {
		return
	}
	for _, e := range list() {
		if e.StartedAt == 0 || e.Gone || e.Restored {
			continue
		}
		key := fleet.LoadKey(e.ID)
		if at, ok := crashed[key]; ok && e.LastHeartbeat.Sub(at) >= maxHeartbeatDelay {
			c.addFallen(c.detector.Retract(key, e.LastHeartbeat)...)
		}
	}
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
