package quarantine

import (
	"slices"
	"sort"
	"time"
)

// settled returns of how many of a part's crashes all that was there is known: hosts have had
// time to report it, and know the parts.
func (t *partTable) settled(s *partSuspect, now time.Time) int {
	n := 0
	for id, c := range s.crashes {
		if now.Sub(c.at) >= reportDelay && !t.unseen(id) {
			n++
		}
	}
	return n
}

// unseen reports whether a request may be the cause of a crash whose parts aren't known.
func (t *partTable) unseen(endpoint uint32) bool {
	l := t.lost[endpoint]
	return l != nil && l.unseen
}

// coverage returns the share of the settled crashes since a part's first one that it was at; 1 if
// there are none. A mass loss counts once, by the share of its endpoints.
func (t *partTable) coverage(s *partSuspect, groups *massLosses, now time.Time) float64 {
	first := time.Time{}
	for _, c := range s.crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	all, own := map[uint32]int{}, map[uint32]int{}
	for id, l := range t.lost {
		if l.at.Before(first) || l.attributed || l.unseen || now.Sub(l.at) < reportDelay {
			continue
		}
		group := groups.representative(id)
		all[group]++
		if s.crashes[id] != nil {
			own[group]++
		}
	}
	sum := 0.0
	for group, n := range all {
		sum += float64(own[group]) / float64(n)
	}
	if len(all) == 0 {
		return 1
	}
	return sum / float64(len(all))
}

// massLosses are the incarnations that were lost together with others of their failure domain, or
// whose connections one host alone lost together with others.
type massLosses struct {
	// standsFor has for each of them the one that stands for all that were lost together.
	standsFor map[uint32]uint32
	members   map[uint32][]uint32 // by the one that stands for them
	ofDomain  map[uint32]bool     // lost together with others of their failure domain
}

// massLosses returns the mass losses among the crashes.
func (t *partTable) massLosses() *massLosses {
	out := &massLosses{
		standsFor: map[uint32]uint32{},
		members:   map[uint32][]uint32{},
		ofDomain:  map[uint32]bool{},
	}
	t.group(out.standsFor, func(l *incarnationCrash) uint32 { return l.domain })
	for id := range out.standsFor {
		out.ofDomain[id] = true
	}
	t.group(out.standsFor, func(l *incarnationCrash) uint32 { return l.reporter })
	for id, representative := range out.standsFor {
		out.members[representative] = append(out.members[representative], id)
	}
	return out
}

// representative returns the incarnation that stands for a mass loss, or the same one.
func (m *massLosses) representative(endpoint uint32) uint32 {
	if m == nil {
		return endpoint
	}
	if g, ok := m.standsFor[endpoint]; ok {
		return g
	}
	return endpoint
}

// separate returns the incarnations in mass losses whose crashes count one by one for a part. These
// need later evidence: nearly all endpoints of the mass loss had requests with the part, none of
// which ever survived, and none of the endpoints was heard of since. Besides, others of the failure
// domain were heard of, or the endpoints crashed one after the other, as requests with the part were
// sent.
func (t *partTable) separate(s *partSuspect, m *massLosses) map[uint32]bool {
	out := map[uint32]bool{}
	if m == nil || s.survived {
		return out
	}
	for _, members := range m.members {
		own := 0
		crashed, domainLives := true, true
		for _, id := range members {
			l := t.lost[id]
			crashed = crashed && l.confirmed && !l.peerHeard
			domainLives = domainLives && (l.domainLives || !m.ofDomain[id])
			if s.crashes[id] != nil {
				own++
			}
		}
		if !crashed || float64(own) < minCoverage*float64(len(members)) || !domainLives && !t.followRetries(s, members) {
			continue
		}
		for _, id := range members {
			out[id] = true
		}
	}
	return out
}

// followRetries reports whether a request with the part was sent to one of the endpoints after another
// had crashed, and crashed it as well.
func (t *partTable) followRetries(s *partSuspect, members []uint32) bool {
	for _, id := range members {
		c := s.crashes[id]
		if c == nil {
			continue
		}
		after, ok := t.requests.crashed(c.request, id)
		sentAt := t.lost[id].at.Add(timeResolution - after)
		if ok && slices.ContainsFunc(members, func(earlier uint32) bool {
			return earlier != id && t.lost[earlier].at.Before(sentAt)
		}) {
			return true
		}
	}
	return false
}

// confirm records that an incarnation wasn't heard of after its crash, and whether others of its
// failure domain were. It reports whether that is news.
func (t *partTable) confirm(endpoint uint32, domainLives bool) bool {
	l := t.lost[endpoint]
	if l == nil || l.confirmed && l.domainLives == domainLives {
		return false
	}
	l.confirmed = true
	l.domainLives = domainLives
	return true
}

// notePeers records at the crashes that came with that of an incarnation, which was heard of since,
// that they may be losses of connections as well.
func (t *partTable) notePeers(heard *incarnationCrash) {
	for _, l := range t.lost {
		if l != heard && l.at.Sub(heard.at).Abs() <= massWindow &&
			(l.reporter != 0 && l.reporter == heard.reporter || l.domain != 0 && l.domain == heard.domain) {
			l.peerHeard = true
		}
	}
}

// group adds the mass losses among incarnations with the same key to out; 0 is no key.
func (t *partTable) group(out map[uint32]uint32, key func(l *incarnationCrash) uint32) {
	byKey := map[uint32][]uint32{}
	for id, l := range t.lost {
		if k := key(l); k != 0 {
			byKey[k] = append(byKey[k], id)
		}
	}
	for _, ids := range byKey {
		sort.Slice(ids, func(i, k int) bool {
			a, b := t.lost[ids[i]].at, t.lost[ids[k]].at
			return a.Before(b) || a.Equal(b) && ids[i] < ids[k]
		})
		for begin := 0; begin < len(ids); {
			end := begin + 1
			for end < len(ids) && t.lost[ids[end]].at.Sub(t.lost[ids[begin]].at) <= massWindow {
				end++
			}
			if end-begin >= massCrashes {
				for _, id := range ids[begin:end] {
					out[id] = ids[begin]
				}
			}
			begin = end
		}
	}
}
