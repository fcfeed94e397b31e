package pattern

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// stream is one request for a generation, from its caller's first try on.
type stream struct {
	m      *Model
	host   *host
	demand pathing.Demand
	events int // of the whole answer

	asked  time.Duration // the caller's first try
	given  int           // events
	firstT time.Duration // of the first event; 0 before it
	lastT  time.Duration
	pause  time.Duration
	epoch  int // counts sends: what belongs to an older one is void
	sent   bool
	parts  []*endpoint
	layers []int
	ended  bool
	cut    bool // at least once
}

// context returns the tokens that the stream holds at each endpoint.
func (s *stream) context() float64 {
	return s.demand.Prompt + float64(s.given*s.m.shape.TokensPerEvent)
}

// come has the host take the stream from a time on: one that is resumed may have to
// wait for others.
func (s *stream) come(ready time.Duration) {
	s.m.clock.after(ready-s.m.clock.now, func() {
		if !s.cut {
			s.host.crowd.NoteNew()
			s.start()
			return
		}
		s.m.clock.after(s.host.crowd.ResumeDelay(s.m.Now()), s.start)
	})
}

// start sends the stream along a path, or reports that there is no room.
func (s *stream) start() {
	s.epoch++
	path := s.host.choose(s)
	if path == nil {
		s.m.refused++
		s.ended = true
		return
	}
	s.sent = true
	s.parts = nil
	s.layers = nil
	for _, p := range path {
		e := s.m.byID[p.ID]
		s.parts = append(s.parts, e)
		s.layers = append(s.layers, p.Layers.Len())
		e.requests++
		e.tokens += s.context()
		s.host.begin(e.id, s.demand.MeanKVTokens())
	}
	s.visit(0, s.context())
}

// visit goes to a part of the path: to read so many tokens, or to write.
func (s *stream) visit(part int, read float64) {
	e := s.parts[part]
	e.visit(&visit{
		s:      s,
		layers: s.layers[part],
		read:   read,
		epoch:  s.epoch,
		done: func() {
			s.visited(part, read)
		},
	})
}

// visited goes on behind a part.
func (s *stream) visited(part int, read float64) {
	if part+1 == len(s.parts) {
		s.event()
		return
	}
	epoch := s.epoch
	hop := s.m.shape.Hop + s.m.shape.Engine.Delay(s.parts[part].domain, s.parts[part+1].domain)
	s.m.clock.after(hop, func() {
		if epoch == s.epoch {
			s.visit(part+1, read)
		}
	})
}

// event is one that the caller gets.
func (s *stream) event() {
	now := s.m.clock.now
	if s.firstT == 0 {
		s.firstT = now
	} else {
		s.pause = max(s.pause, now-s.lastT)
	}
	s.lastT = now
	s.given++
	for _, e := range s.parts {
		e.tokens += float64(s.m.shape.TokensPerEvent)
	}
	if s.given >= s.events {
		s.leave()
		s.ended = true
		return
	}
	s.visit(0, 0)
}

// leave gives back what the present send holds.
func (s *stream) leave() {
	if !s.sent {
		return
	}
	for _, e := range s.parts {
		e.requests--
		e.tokens -= s.context()
		s.host.end(e.id, s.demand.MeanKVTokens())
	}
	s.sent = false
	s.epoch++
}

// inTime reports whether the caller got all it asked for as it should.
func (s *stream) inTime() bool {
	return s.ended && s.firstT > 0 && s.firstT-s.asked <= s.m.shape.FirstEventGoal && s.pause <= s.m.shape.PauseGoal
}

// took returns how long the answer took.
func (s *stream) took() time.Duration {
	return s.lastT - s.asked
}
