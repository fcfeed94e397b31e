package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

// pulse is what a caller notices of a stream's pace: when its first event came,
// and the longest pause between two events.
type pulse struct {
	first time.Time // zero before the first event
	last  time.Time
	pause time.Duration
	after string // id of the event before the longest pause
}

// beat notes an event that is passed on at now; before is the id of the one
// passed on before.
func (p *pulse) beat(now time.Time, before string) {
	if p.first.IsZero() {
		p.first = now
		p.last = now
		return
	}
	if d := now.Sub(p.last); d > p.pause {
		p.pause = d
		p.after = before
	}
	p.last = now
}

// fields returns the pace of a request that was received at a time, for the log.
func (p *pulse) fields(received time.Time) []eventlog.Field {
	if p.first.IsZero() {
		return nil
	}
	return []eventlog.Field{
		eventlog.Ms("first_ms", p.first.Sub(received)),
		eventlog.Ms("pause_ms", p.pause),
		eventlog.Str("pause_after", p.after),
	}
}
