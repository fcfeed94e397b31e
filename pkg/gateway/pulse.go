package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

// pauseTracker is what a caller notices of a stream's pace: when its first event came,
// and the longest pause between two events.
type pauseTracker struct {
	firstEvent   time.Time // zero before the first event
	lastEvent    time.Time
	longest      time.Duration
	longestAfter string // id of the event before the longest pause
}

// record notes an event that is passed on at now; before is the id of the one
// passed on before.
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

// fields returns the pace of a request that was received at a time, for the log.
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
