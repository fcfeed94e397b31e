package gateway

import (
	"net/http"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/metrics"
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

func (s *streamRun) recordFinished() {
	if s.peer == "" {
		s.g.recordAnswered(s.j, s.sentAt)
	}
	s.g.durations.record(s.demand().Answer, s.g.svc.Now().Sub(s.j.req.Received))
	metrics.Observe(s.g.metrics.Histogram("longest_pause_us"), s.pauses.longest)
	s.g.logServed(s.j, http.StatusOK, s.servedBy(), s.sends, s.logFields()...)
}

// recordCrashOf records that the first endpoint of the path crashed under a send, unless its silence
// was taken for that already.
func (s *streamRun) recordCrashOf(d *streamSend) {
	if d.silent && !s.g.silences.Remove(d.path[0].ID, s.j.req.ID) {
		return
	}
	d.silent = false
	s.g.recordCrash(s.j, d.crashed())
}

// recordSilence records that the endpoint of the current send is silent.
func (s *streamRun) recordSilence() {
	if !s.silent {
		s.silent = true
		s.g.recordSilence(s.j, s.crashed())
	}
}

// endSilence records that a send goes on.
func (s *streamRun) endSilence(d *streamSend) {
	if d.silent {
		d.silent = false
		s.g.silences.Remove(d.path[0].ID, s.j.req.ID)
	}
}

// crashed describes the send as one that a crash broke off now.
func (d *streamSend) crashed() crashedSend {
	first := d.path[0]
	return crashedSend{
		endpoint:       first.ID,
		address:        first.Address,
		domain:         first.Domain,
		sentAt:         d.sentAt,
		beforeResponse: !d.gotEvent,
		writing:        d.writing(),
	}
}
