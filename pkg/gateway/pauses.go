package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

// pauseTracker records what a caller notices of the progress of a stream: the time of
// the first event, and the longest pause between two events.
type pauseTracker struct {
	firstEvent   time.Time // zero before the first event
	lastEvent    time.Time
	longest      time.Duration
	longestAfter string // ID of the event before the longest pause
}

// record notes an event that is passed on at now; before is the ID of the event passed
// on before it.
func (p *pauseTracker) record(now time.Time, before string) {
	if p.firstEvent.IsZero() {
		p.firstEvent = now
		p.lastEvent = now
		return
	}
	if d := now.Sub(p.lastEvent); d > p.longest {
		p.longest = d
		p.longestAfter = before
	}
	p.lastEvent = now
}

// fields returns the log fields for a request that was received at received.
func (p *pauseTracker) fields(received time.Time) []eventlog.Field {
	if p.firstEvent.IsZero() {
		return nil
	}
	return []eventlog.Field{
		eventlog.Ms("first_ms", p.firstEvent.Sub(received)),
		eventlog.Ms("pause_ms", p.longest),
		eventlog.Str("pause_after", p.longestAfter),
	}
}
