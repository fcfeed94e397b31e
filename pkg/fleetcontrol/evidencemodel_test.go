package fleetcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// The model of crash evidence runs a leader, entry hosts' enforcers and endpoints on a manual clock. Its
// streams follow the gateway: one whose endpoint is silent is also sent elsewhere, and goes on where the
// next event comes from.
const (
	modelStep        = 20 * time.Millisecond
	modelSync        = 400 * time.Millisecond // of a host with the leader
	modelHeartbeat   = time.Second
	modelEvent       = 100 * time.Millisecond // between two events of a stream
	modelFirstEvent  = 60 * time.Millisecond
	modelSilence     = 600 * time.Millisecond // after which a stream is also sent elsewhere
	modelRestart     = 2 * time.Second
	modelPause       = 1200 * time.Millisecond
	modelCalm        = 2 * time.Second // when a series ends
	modelTimeout     = 10 * time.Second
	modelHosts       = 3
	modelEndpoints   = 9
	modelAttempts    = 2
	modelSettled     = 3 * time.Second // before pauses and crashes begin
	lateAfter        = 3 * time.Second // after the fifth crash a deadly request is late
	detectionCrashes = 5
)

// Parts of the model's prompts: commonPart is in all, deadlyPart crashes endpoints from a time on.
const (
	commonPart quarantine.Fingerprint = 1 + iota
	deadlyPart
	firstRarePart
)

// evidenceCase is what happens in a run of the model.
type evidenceCase struct {
	pauses     float64 // a second, each of one endpoint, a third, or all of them
	inSeries   bool    // all endpoints pause for 1.2 s, from the first streams on, every 2.4 s
	idleCloses float64 // the share of sends that break on a kept connection that was closed
	deadly     int     // one of so many requests has a part that crashes endpoints; 0: none
	dark       bool    // the connections of crashed endpoints stay open
	calm       bool    // the series ends with the first pause
	noStart    bool    // endpoints don't report their start
	blames     bool    // hosts take silence for a crash, as those of earlier releases do
}

type modelEndpoint struct {
	name        string
	startedAt   int64
	id          string // of the incarnation
	up          bool
	silentUntil time.Time
	restartAt   time.Time
	heartbeatAt time.Time
	sequence    uint64
}

// start begins an incarnation.
func (e *modelEndpoint) start(startedAt int64, now time.Time) {
	e.up = true
	e.startedAt = startedAt
	e.id = fleet.IncarnationID(e.name, startedAt)
	e.heartbeatAt = now
}

type modelSend struct {
	endpoint *modelEndpoint
	id       string
	sentAt   time.Time
	firstAt  time.Time // of the first event; zero before it
	lastAt   time.Time
	survived bool
	silent   bool // which is recorded
}

type modelStream struct {
	host      *modelHost
	request   quarantine.Fingerprint
	parts     []quarantine.Fingerprint
	length    time.Duration // of writing
	written   time.Duration
	send      *modelSend
	suspended *modelSend
	attempts  int
	arrivedAt time.Time
	probe     bool
	ended     bool
}

type modelHost struct {
	name     string
	enforcer *quarantine.Enforcer
	silences *quarantine.Silences
	syncAt   time.Time
}

type evidenceModel struct {
	*evidenceFixture
	c         evidenceCase
	rand      *rand.Rand
	endpoints []*modelEndpoint
	hosts     []*modelHost
	streams   []*modelStream
	requests  quarantine.Fingerprint
	began     time.Time

	refused, served, cut int
	crashes              []time.Time // under the deadly part
	late                 int         // requests with the deadly part sent later than lateAfter
	firstRefusal         time.Time   // because of the common part
	survivor             time.Time   // when the first stream survived after that
	over                 time.Time   // the last refusal because of the common part
	held                 map[uint64]bool
}

// wrongFor returns for how long requests were refused because of the common part after the first
// survivor.
func (m *evidenceModel) wrongFor() time.Duration {
	if m.survivor.IsZero() {
		return m.over.Sub(m.firstRefusal)
	}
	return m.over.Sub(m.survivor)
}

func newEvidenceModel(b *evidenceFixture, c evidenceCase, seed uint64) *evidenceModel {
	m := &evidenceModel{evidenceFixture: b, c: c, rand: rand.New(rand.NewPCG(seed, 7)), began: b.clock.Now(), requests: 1000, held: map[uint64]bool{}}
	startedAt := int64(1)
	if c.noStart {
		startedAt = 0
	}
	for i := range modelEndpoints {
		e := &modelEndpoint{name: fmt.Sprintf("e%d", i)}
		e.start(startedAt, b.clock.Now().Add(time.Duration(i)*100*time.Millisecond))
		m.endpoints = append(m.endpoints, e)
	}
	for i := range modelHosts {
		m.hosts = append(m.hosts, &modelHost{
			name: fmt.Sprintf("h%d", i), enforcer: quarantine.NewEnforcer(b.clock), silences: quarantine.NewSilences(b.clock),
			syncAt: b.clock.Now().Add(time.Duration(i) * 130 * time.Millisecond),
		})
	}
	return m
}

func (m *evidenceModel) run(d time.Duration) {
	decideAt := m.clock.Now()
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); m.clock.Advance(modelStep) {
		now := m.clock.Now()
		if now.Sub(m.began) > modelSettled {
			m.disturb(now)
		}
		if m.c.inSeries && (!m.c.calm || now.Sub(m.began) < modelCalm) {
			m.pauseAll(now)
		}
		for _, e := range m.endpoints {
			m.stepEndpoint(e, now)
		}
		m.arrive()
		for _, s := range m.streams {
			m.stepStream(s, now)
		}
		m.streams = slices.DeleteFunc(m.streams, func(s *modelStream) bool { return s.ended })
		for _, h := range m.hosts {
			if !now.Before(h.syncAt) {
				h.syncAt = now.Add(modelSync)
				m.review(h)
				m.syncHost(h)
			}
		}
		if !now.Before(decideAt) {
			decideAt = now.Add(quarantineInterval)
			m.updateQuarantine(context.Background())
			for _, f := range m.evidenceFixture.held() {
				m.held[f] = true
			}
		}
	}
}

func (m *evidenceModel) pauseAll(now time.Time) {
	if now.Sub(m.began)%(2*modelPause) == modelPause/4 {
		for _, e := range m.endpoints {
			e.silentUntil = now.Add(modelPause)
		}
	}
}

func (m *evidenceModel) disturb(now time.Time) {
	if m.rand.Float64() < m.c.pauses*modelStep.Seconds() {
		until := now.Add(300*time.Millisecond + time.Duration(m.rand.Float64()*2.7*float64(time.Second)))
		share := []float64{1.0 / modelEndpoints, 1.0 / 3, 1}[m.rand.IntN(3)]
		for _, e := range m.endpoints {
			if m.rand.Float64() < share {
				e.silentUntil = until
			}
		}
	}
}

func (m *evidenceModel) stepEndpoint(e *modelEndpoint, now time.Time) {
	if !e.up && !now.Before(e.restartAt) {
		e.start(now.UnixMilli(), now)
	}
	if e.up && !now.Before(e.silentUntil) && !now.Before(e.heartbeatAt) {
		e.heartbeatAt = now.Add(modelHeartbeat)
		e.sequence++
		m.table.Announce(fleet.Endpoint{ID: e.id, StartedAt: e.startedAt, Service: "llm", Address: e.name + ":1", Sequence: e.sequence, LastHeartbeat: now})
	}
}

// arrive lets callers send requests, 24 a second.
func (m *evidenceModel) arrive() {
	if m.rand.Float64() >= 24*modelStep.Seconds() {
		return
	}
	m.requests++
	s := &modelStream{
		host: m.hosts[m.rand.IntN(modelHosts)], request: m.requests, arrivedAt: m.clock.Now(), length: time.Duration(500+m.rand.IntN(2500)) * time.Millisecond,
		parts: []quarantine.Fingerprint{commonPart, firstRarePart + quarantine.Fingerprint(m.rand.IntN(40))},
	}
	if m.c.deadly > 0 && m.clock.Now().Sub(m.began) > modelSettled && m.rand.IntN(m.c.deadly) == 0 {
		s.parts = append(s.parts, deadlyPart)
	}
	if m.sendStream(s) {
		m.streams = append(m.streams, s)
	}
}

func (s *modelStream) deadly() bool { return slices.Contains(s.parts, deadlyPart) }

// sendStream sends a stream to an endpoint that it wasn't sent to, and reports whether it did.
func (m *evidenceModel) sendStream(s *modelStream) bool {
	now := m.clock.Now()
	if !s.probe {
		part, _, probe := s.host.enforcer.CheckParts(s.parts)
		if part != 0 || s.host.enforcer.Remaining(s.request) > 0 {
			m.refuse(s, part, now)
			return false
		}
		s.probe = probe
	} else {
		return false
	}
	if s.attempts >= modelAttempts {
		return false
	}
	list := slices.DeleteFunc(slices.Clone(m.endpoints), func(e *modelEndpoint) bool {
		return !e.up || s.suspended != nil && s.suspended.endpoint == e
	})
	if len(list) == 0 {
		return false
	}
	e := list[m.rand.IntN(len(list))]
	s.attempts++
	s.send = &modelSend{endpoint: e, id: e.id, sentAt: now, lastAt: now}
	if s.deadly() && len(m.crashes) >= detectionCrashes && now.Sub(m.crashes[detectionCrashes-1]) > lateAfter {
		m.late++
	}
	return true
}

func (m *evidenceModel) refuse(s *modelStream, part quarantine.Fingerprint, now time.Time) {
	if s.deadly() {
		return
	}
	m.refused++
	if part != commonPart {
		return
	}
	m.over = now
	if m.firstRefusal.IsZero() {
		m.firstRefusal = now
	}
}

func (m *evidenceModel) stepStream(s *modelStream, now time.Time) {
	if s.ended || s.send == nil {
		return
	}
	if d := s.suspended; d != nil && m.speaks(d, now) {
		s.attempts--
		s.send, s.suspended = d, nil
	}
	d := s.send
	switch {
	case m.speaks(d, now):
		if s.deadly() && d.firstAt.IsZero() {
			m.crash(d.endpoint, now)
			return
		}
		if d.firstAt.IsZero() && m.rand.Float64() < m.c.idleCloses {
			m.recordCrash(s, d)
			if s.attempts--; !m.sendStream(s) {
				s.ended = true
			}
			return
		}
		m.event(s, d, now)
	case now.Sub(s.arrivedAt) >= modelTimeout:
		s.ended = true
	case now.Sub(d.lastAt) >= modelSilence && !d.silent:
		m.noteSilence(s, d, now)
		if s.suspended != nil || s.attempts >= modelAttempts {
			return
		}
		s.suspended = d
		if !m.sendStream(s) {
			s.suspended = nil
			s.send = d
		}
	}
}

// noteSilence records that the endpoint of a send is silent.
func (m *evidenceModel) noteSilence(s *modelStream, d *modelSend, now time.Time) {
	d.silent = true
	if m.c.blames {
		m.recordCrash(s, d)
		return
	}
	crash, parts := crashRecord(s, d, now)
	s.host.silences.Add(quarantine.Silence{ID: d.id, Address: d.endpoint.name + ":1", At: now, Request: crash, Parts: parts, RequestID: s.request.String()})
}

// speaks reports whether an event comes from a send now.
func (m *evidenceModel) speaks(d *modelSend, now time.Time) bool {
	wait := modelEvent
	if d.firstAt.IsZero() {
		wait = modelFirstEvent
	}
	return d.endpoint.up && d.endpoint.id == d.id && !now.Before(d.endpoint.silentUntil) && now.Sub(d.lastAt) >= wait
}

func (m *evidenceModel) event(s *modelStream, d *modelSend, now time.Time) {
	s.suspended = nil // it is closed
	if d.silent {
		d.silent = false
		s.host.silences.Remove(d.id, s.request.String())
	}
	if d.firstAt.IsZero() {
		d.firstAt = now
		s.host.silences.Drop(d.id, d.sentAt)
		s.host.enforcer.Retract(fleet.LoadKey(d.id), d.sentAt)
	} else {
		s.written += now.Sub(d.lastAt)
	}
	d.lastAt = now
	if !d.survived && now.Sub(d.firstAt) >= quarantine.SurvivalTime {
		d.survived = true
		m.survive(s, quarantine.Survival{WrittenAt: d.sentAt}, now)
	}
	if s.written >= s.length {
		s.ended = true
		m.served++
		m.survive(s, quarantine.Survival{AnsweredAt: d.sentAt}, now)
	}
}

func (m *evidenceModel) survive(s *modelStream, v quarantine.Survival, now time.Time) {
	for _, p := range s.parts {
		v.Part = p
		s.host.enforcer.RecordSurvival(v)
	}
	if !m.firstRefusal.IsZero() && m.survivor.IsZero() {
		m.survivor = now
	}
}

// crash ends an incarnation, and breaks its streams unless its connections stay open.
func (m *evidenceModel) crash(e *modelEndpoint, now time.Time) {
	m.crashes = append(m.crashes, now)
	id := e.id
	e.up = false
	e.restartAt = now.Add(modelRestart)
	if m.c.dark {
		return
	}
	for _, s := range m.streams {
		if d := s.suspended; d != nil && d.id == id {
			m.recordCrash(s, d)
			s.suspended = nil
		}
		if s.ended || s.send == nil || s.send.id != id {
			continue
		}
		m.recordCrash(s, s.send)
		if s.suspended != nil {
			s.send, s.suspended = s.suspended, nil
			continue
		}
		if !m.sendStream(s) {
			s.ended = true
			m.cut++
		}
	}
}

// runEvidence runs the model with a seed.
func runEvidence(c evidenceCase, seed uint64, d time.Duration, f func(m *evidenceModel)) {
	withLeaders(func(lead func(term uint64) *Server, clock *timer.Manual) {
		m := newEvidenceModel(&evidenceFixture{Server: lead(3), clock: clock}, c, seed)
		m.run(d)
		f(m)
	})
}
