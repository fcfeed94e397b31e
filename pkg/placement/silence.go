package placement

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// maxPause is how long after a silent endpoint was found it may keep its layers: one that
	// works may pause for a second or so.
	maxPause = 2 * time.Second
	// massSilence is the part of a service's endpoints with layers from which on, if so many are
	// silent, they are expected to be heard again.
	massSilence = 0.5
)

// silenceTracker decides which silent endpoints keep their layers, so that no others are moved to
// these. The mutex of Controller guards it.
type silenceTracker struct {
	heartbeat time.Duration
	services  map[string]*serviceSilence
}

// serviceSilence is what is known of the silent endpoints of one service.
type serviceSilence struct {
	since map[string]time.Time // when each was first seen silent
	// massAt is when more than massSilence of the service's endpoints were last silent.
	massAt time.Time
}

func newSilenceTracker(heartbeat time.Duration) *silenceTracker {
	return &silenceTracker{
		heartbeat: heartbeat,
		services:  map[string]*serviceSilence{},
	}
}

// update applies a new list of endpoints.
func (t *silenceTracker) update(service string, endpoints []fleet.Endpoint, now time.Time) {
	holders := 0
	since := map[string]time.Time{}
	s := t.services[service]
	if s == nil {
		s = &serviceSilence{}
		t.services[service] = s
	}
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != service || !e.Usable() || e.Layers.Len() == 0 {
			continue
		}
		holders++
		if !e.Silent {
			continue
		}
		at, known := s.since[e.ID]
		if !known {
			at = now
		}
		since[e.ID] = at
	}
	s.since = since
	if float64(len(since)) > massSilence*float64(holders) {
		s.massAt = now
	}
}

// keepsLayers reports whether a silent endpoint still counts as a holder of its layers. After most
// endpoints were silent, the last one may be heard a heartbeat interval after the first one.
func (t *silenceTracker) keepsLayers(e *fleet.Endpoint, now time.Time) bool {
	s := t.services[e.Service]
	if s == nil {
		return false
	}
	since, known := s.since[e.ID]
	return known && now.Sub(since) < maxPause && !s.massAt.IsZero() && now.Sub(s.massAt) <= t.heartbeat
}
