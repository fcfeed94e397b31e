package placement

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// maxPause is how long after an endpoint was found silent it may keep its layers: one that works
	// may pause for a second or so.
	maxPause = 2 * time.Second
	// massSilence is the part of a service's endpoints with layers from which on, if more are silent,
	// they are expected to be heard again.
	massSilence = 0.5
)

// silences returns what a registry knows of a silent endpoint.
type silences interface {
	// Silence returns for how long an endpoint has been marked as silent, and whether it accepts
	// connections nevertheless.
	Silence(id string) (d time.Duration, paused bool)
}

// silenceTracker decides which silent endpoints keep their layers, so that no others are moved to
// these. The mutex of Controller guards it.
type silenceTracker struct {
	table     silences
	heartbeat time.Duration
	massAt    map[string]time.Time // by service: when more than massSilence were last silent
}

func newSilenceTracker(table silences, heartbeat time.Duration) *silenceTracker {
	return &silenceTracker{
		table:     table,
		heartbeat: heartbeat,
		massAt:    map[string]time.Time{},
	}
}

// update applies a new list of endpoints.
func (t *silenceTracker) update(service string, endpoints []fleet.Endpoint, now time.Time) {
	holders, silent := 0, 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != service || !e.Usable() || e.Layers.Len() == 0 {
			continue
		}
		holders++
		if e.Silent {
			silent++
		}
	}
	if float64(silent) > massSilence*float64(holders) {
		t.massAt[service] = now
	}
}

// keepsLayers reports whether a silent endpoint still counts as a holder of its layers: it accepts
// connections, so its machine works, or most others were silent, too. After those are heard, the
// last one may be heard a heartbeat interval after the first one.
func (t *silenceTracker) keepsLayers(e *fleet.Endpoint, now time.Time) bool {
	silent, paused := t.table.Silence(e.ID)
	if e.Layers.Len() == 0 || silent >= maxPause {
		return false
	}
	massAt, ok := t.massAt[e.Service]
	return paused || ok && now.Sub(massAt) <= t.heartbeat
}
