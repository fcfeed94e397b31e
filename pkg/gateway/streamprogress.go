package gateway

import (
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
)

// progressFields returns for how long the current send was written, for the log.
func (s *streamRun) progressFields() []eventlog.Field {
	if !s.gotEvent {
		return nil
	}
	return []eventlog.Field{eventlog.Ms("writing_ms", s.writing())}
}

// recordProgress records the time of an event, and that the stream survived once it has been
// written for long enough.
func (s *streamRun) recordProgress() {
	now := s.g.svc.Now()
	if !s.gotEvent {
		s.gotEvent = true
		s.firstEventAt = now
	}
	s.lastEventAt = now
	if s.survived || s.peer != "" || s.writing() < quarantine.SurvivalTime {
		return
	}
	s.survived = true
	for _, p := range s.j.parts {
		s.g.quarantine.RecordSurvival(quarantine.Survival{
			Part:      p,
			WrittenAt: s.sentAt,
		})
	}
}

// recordCrashOf records that the first endpoint of the path crashed under a send.
func (s *streamRun) recordCrashOf(d *streamSend) {
	first := d.path[0]
	s.g.recordCrash(s.j, crashedSend{
		endpoint:       first.ID,
		address:        first.Address,
		domain:         first.Domain,
		sentAt:         d.sentAt,
		beforeResponse: !d.gotEvent,
		writing:        d.writing(),
	})
}
