package gateway

import (
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// pathAround returns the stream's path with other endpoints in the place of the
// parts that are bad, and all else as it stands: an endpoint that comes new into
// a path reads every token so far, and one that stays keeps its memory. It
// returns nil if no part is bad, or their layers can't be covered.
func (s *streamRun) pathAround(bad func(p fleet.Part) bool) []fleet.Part {
	kept, holes := split(s.path, bad)
	if len(holes) == 0 {
		return nil
	}
	stages := make([]pathing.Stage, 0, len(kept))
	names := map[string]bool{
		s.path[0].ID: true,
	}
	for _, p := range kept {
		names[p.ID] = true
		stages = append(stages, pathing.Stage{
			ID:      p.ID,
			Address: p.Address,
			Domain:  p.Domain,
			Layers:  p.Layers,
		})
	}
	fit := s.stages(func(e *fleet.Endpoint) bool {
		return names[e.ID] || s.failed(e.ID) || s.g.tracker.Avoided(e.ID)
	})
	for _, st := range fit {
		if c, ok := clip(st, holes); ok {
			stages = append(stages, c)
		}
	}
	demand := s.demand()
	demand.First = &s.path[0]
	path := pathing.Choose(s.j.service.Engine, stages, demand, s.jitter)
	if path == nil || !pathing.Whole(s.j.service.Engine, path) {
		return nil
	}
	return path
}

// split returns the parts of a path after the first that are good, and the
// layers of those that are bad, neighbours joined.
func split(path []fleet.Part, bad func(p fleet.Part) bool) (kept []fleet.Part, holes []fleet.Range) {
	for _, p := range path[1:] {
		n := len(holes)
		switch {
		case !bad(p):
			kept = append(kept, p)
		case n > 0 && holes[n-1].To == p.Layers.From:
			holes[n-1].To = p.Layers.To
		default:
			holes = append(holes, p.Layers)
		}
	}
	return kept, holes
}

// clip limits an endpoint to the first hole that it holds layers of: a path may
// name it once only.
func clip(st pathing.Stage, holes []fleet.Range) (pathing.Stage, bool) {
	for _, h := range holes {
		from := max(st.Layers.From, h.From)
		to := min(st.Layers.To, h.To)
		if from < to {
			st.Held = st.Layers.Len()
			st.Layers = fleet.Range{
				From: from,
				To:   to,
			}
			return st, true
		}
	}
	return st, false
}
