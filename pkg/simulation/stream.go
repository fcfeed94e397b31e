package simulation

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// stream is a caller's request for a generation, with all its attempts.
type stream struct {
	model  *Model
	host   *host
	demand pathing.Demand
	events int // of the complete answer

	requestedAt  time.Duration // the caller's first attempt
	delivered    int           // number of events
	firstEventAt time.Duration // 0 before the first event
	lastEventAt  time.Duration
	longestPause time.Duration
	epoch        int // counts attempts and releases: what belongs to an earlier one is stale
	active       bool
	endpoints    []*endpoint
	stageLayers  []int
	ended        bool
	interrupted  bool // at least once
}

// contextTokens returns how many tokens the stream holds at each endpoint.
func (s *stream) contextTokens() float64 {
	return s.demand.Prompt + float64(s.delivered*s.model.scenario.TokensPerEvent)
}

// arrive has the host take the stream at a time. A resumed stream may be held first.
func (s *stream) arrive(ready time.Duration) {
	s.model.clock.after(ready-s.model.clock.now, func() {
		if !s.interrupted {
			s.host.spreader.NoteNew()
			s.send()
			return
		}
		s.model.clock.after(s.host.spreader.ResumeDelay(s.model.Now()), s.send)
	})
}

// send sends the stream along a path, or has it refused if there is none.
func (s *stream) send() {
	s.epoch++
	path := s.host.choosePath(s)
	if path == nil {
		s.model.refused++
		s.ended = true
		return
	}
	s.active = true
	s.endpoints = nil
	s.stageLayers = nil
	for _, p := range path {
		e := s.model.byID[p.ID]
		s.endpoints = append(s.endpoints, e)
		s.stageLayers = append(s.stageLayers, p.Layers.Len())
		e.requests++
		e.tokens += s.contextTokens()
		s.host.addLoad(e.id, s.demand.MeanKVTokens())
	}
	s.runStage(0, s.contextTokens())
}

// runStage queues the stream's work at a stage of the path: to read prompt tokens, or
// to write if there are none to read.
func (s *stream) runStage(stage int, promptTokens float64) {
	e := s.endpoints[stage]
	e.enqueue(&task{
		stream:       s,
		layers:       s.stageLayers[stage],
		promptTokens: promptTokens,
		epoch:        s.epoch,
		done: func() {
			s.stageDone(stage, promptTokens)
		},
	})
}

// stageDone continues after a stage, with the next one or the event.
func (s *stream) stageDone(stage int, promptTokens float64) {
	if stage+1 == len(s.endpoints) {
		s.deliver()
		return
	}
	epoch := s.epoch
	hop := s.model.scenario.Hop + s.model.scenario.Engine.Delay(s.endpoints[stage].domain, s.endpoints[stage+1].domain)
	s.model.clock.after(hop, func() {
		if epoch == s.epoch {
			s.runStage(stage+1, promptTokens)
		}
	})
}

// deliver has the caller receive an event, and begins the next one.
func (s *stream) deliver() {
	now := s.model.clock.now
	if s.firstEventAt == 0 {
		s.firstEventAt = now
	} else {
		s.longestPause = max(s.longestPause, now-s.lastEventAt)
	}
	s.lastEventAt = now
	s.delivered++
	for _, e := range s.endpoints {
		e.tokens += float64(s.model.scenario.TokensPerEvent)
	}
	if s.delivered >= s.events {
		s.release()
		s.ended = true
		return
	}
	s.runStage(0, 0)
}

// release frees what the current attempt holds at the endpoints.
func (s *stream) release() {
	if !s.active {
		return
	}
	for _, e := range s.endpoints {
		e.requests--
		e.tokens -= s.contextTokens()
		s.host.removeLoad(e.id, s.demand.MeanKVTokens())
	}
	s.active = false
	s.epoch++
}

// onTime reports whether the caller received the complete answer within the goals.
func (s *stream) onTime() bool {
	return s.ended && s.firstEventAt > 0 && s.firstEventAt-s.requestedAt <= s.model.scenario.FirstEventGoal && s.longestPause <= s.model.scenario.PauseGoal
}

// duration returns how long the answer took, from the first attempt on.
func (s *stream) duration() time.Duration {
	return s.lastEventAt - s.requestedAt
}
