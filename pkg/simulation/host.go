package simulation

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
	"github.com/larchwinch/larchwinch/pkg/resumption"
)

const (
	// reportInterval is how often a host receives the load of the others, as entry
	// hosts do with their long polls.
	reportInterval = 400 * time.Millisecond
	// jitterWidth is how far the choices of hosts with the same information differ.
	jitterWidth = 0.1
	// maxPathAttempts bounds how many paths are tried for a stream before it is
	// refused.
	maxPathAttempts = 4
)

// load is the work at an endpoint.
type load struct {
	requests int
	tokens   float64
}

// host is a simulated entry host. It knows the load of its own streams, and that of the
// other hosts' streams as of the last report.
type host struct {
	model       *Model
	domain      string
	own         map[string]load
	others      map[string]load
	ownAtReport map[string]load // own load at the time of the last report
	spreader    *resumption.Spreader
}

func newHost(m *Model, domain string) *host {
	return &host{
		model:       m,
		domain:      domain,
		own:         map[string]load{},
		others:      map[string]load{},
		ownAtReport: map[string]load{},
		spreader:    resumption.New(m, m.rand),
	}
}

func (h *host) addLoad(id string, tokens float64) {
	l := h.own[id]
	l.requests++
	l.tokens += tokens
	h.own[id] = l
}

func (h *host) removeLoad(id string, tokens float64) {
	l := h.own[id]
	l.requests--
	l.tokens -= tokens
	h.own[id] = l
}

// receiveReport updates the load of the other hosts, and schedules the next report.
func (h *host) receiveReport() {
	for _, e := range h.model.endpoints {
		all := h.model.totals[e.id]
		own := h.own[e.id]
		h.others[e.id] = load{
			requests: max(0, all.requests-own.requests),
			tokens:   max(0, all.tokens-own.tokens),
		}
		h.ownAtReport[e.id] = own
	}
	h.model.clock.after(reportInterval, h.receiveReport)
}

// candidates returns the endpoints as this host sees them. It assumes that every other
// host has begun as much since the last report as it has itself.
func (h *host) candidates(avoid map[string]bool) []pathing.Candidate {
	var list []pathing.Candidate
	for _, e := range h.model.endpoints {
		if avoid[e.id] || e.layers.Len() == 0 {
			continue
		}
		own, others, before := h.own[e.id], h.others[e.id], h.ownAtReport[e.id]
		peers := float64(len(h.model.hosts) - 1)
		list = append(list, pathing.Candidate{
			ID:       e.id,
			Address:  e.id,
			Domain:   e.domain,
			Kind:     e.kind,
			Layers:   e.layers,
			Requests: float64(own.requests+others.requests) + peers*float64(max(0, own.requests-before.requests)),
			Tokens:   own.tokens + others.tokens + peers*max(0, own.tokens-before.tokens),
			Slowdown: 1,
		})
	}
	return list
}

// choosePath returns a path whose endpoints all have capacity for a stream, or nil.
func (h *host) choosePath(s *stream) []fleet.Stage {
	avoid := map[string]bool{}
	d := s.demand
	d.HomeDomain = h.domain
	for range maxPathAttempts {
		path := pathing.Choose(h.model.scenario.Engine, h.candidates(avoid), d, h.jitter)
		if path == nil {
			return nil
		}
		full := ""
		for _, p := range path {
			if e := h.model.byID[p.ID]; e.tokens+s.contextTokens() > e.capacity() {
				full = p.ID
			}
		}
		if full == "" {
			return path
		}
		avoid[full] = true
	}
	return nil
}

func (h *host) jitter() float64 {
	return 1 - jitterWidth + 2*jitterWidth*h.model.rand.Float64()
}
