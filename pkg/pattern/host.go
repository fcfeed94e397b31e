package pattern

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/crowd"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

const (
	// tellEvery is how often a host is told of the others' loads, as entry hosts
	// are with their held calls.
	tellEvery = 400 * time.Millisecond
	// jitterWidth is how far hosts that know the same differ in their choice.
	jitterWidth = 0.1
	// sends bounds how often a stream is offered to endpoints before it is refused.
	sends = 4
)

// load is work at an endpoint.
type load struct {
	requests int
	tokens   float64
}

// host is an entry host: it knows its own streams, and the others' of some time ago.
type host struct {
	m      *Model
	domain string
	own    map[string]load
	others map[string]load
	then   map[string]load // own, when it was told of the others
	crowd  *crowd.Spreader
}

func newHost(m *Model, domain string) *host {
	return &host{
		m:      m,
		domain: domain,
		own:    map[string]load{},
		others: map[string]load{},
		then:   map[string]load{},
		crowd:  crowd.New(m),
	}
}

func (h *host) begin(id string, tokens float64) {
	l := h.own[id]
	l.requests++
	l.tokens += tokens
	h.own[id] = l
}

func (h *host) end(id string, tokens float64) {
	l := h.own[id]
	l.requests--
	l.tokens -= tokens
	h.own[id] = l
}

// told takes in what all hosts have under way, and comes again.
func (h *host) told() {
	for _, e := range h.m.endpoints {
		all := h.m.sums[e.id]
		own := h.own[e.id]
		h.others[e.id] = load{
			requests: max(0, all.requests-own.requests),
			tokens:   max(0, all.tokens-own.tokens),
		}
		h.then[e.id] = own
	}
	h.m.clock.after(tellEvery, h.told)
}

// stages returns the endpoints as this host sees them. What it has begun since it
// was told of the others, they are taken to have begun too.
func (h *host) stages(avoid map[string]bool) []pathing.Candidate {
	var list []pathing.Candidate
	for _, e := range h.m.endpoints {
		if avoid[e.id] || e.layers.Len() == 0 {
			continue
		}
		own, others, then := h.own[e.id], h.others[e.id], h.then[e.id]
		more := float64(len(h.m.hosts) - 1)
		list = append(list, pathing.Candidate{
			ID:       e.id,
			Address:  e.id,
			Domain:   e.domain,
			Kind:     e.kind,
			Layers:   e.layers,
			Requests: float64(own.requests+others.requests) + more*float64(max(0, own.requests-then.requests)),
			Tokens:   own.tokens + others.tokens + more*max(0, own.tokens-then.tokens),
			Slowdown: 1,
		})
	}
	return list
}

// choose returns a path all of whose endpoints have room, or nil.
func (h *host) choose(s *stream) []fleet.Stage {
	avoid := map[string]bool{}
	d := s.demand
	d.HomeDomain = h.domain
	for range sends {
		path := pathing.Choose(h.m.shape.Engine, h.stages(avoid), d, h.jitter)
		if path == nil {
			return nil
		}
		full := ""
		for _, p := range path {
			if e := h.m.byID[p.ID]; e.tokens+s.context() > e.room() {
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
	return 1 - jitterWidth + 2*jitterWidth*h.m.rand.Float64()
}
