package quarantine

import (
	"slices"
	"sort"
	"time"
)

const (
	// partCrashes is the number of crashes from which on the leader detects a part that no
	// request survived, and sharedPartCrashes that for parts which many requests share: these are
	// there at every crash, whatever caused it.
	partCrashes       = 3
	sharedPartCrashes = 5
	// minCandidateCrashes is the least number of crashes, also of one group, of a candidate.
	minCandidateCrashes = 3
	// sharedRequests is the mean number of requests at a crash from which on a part counts as
	// shared by many.
	sharedRequests = 3
	// A shared part is the cause only if it was at minCoverage of the crashes since its first
	// one, and minFreshShare of its requests that broke were fresh: the others survived for a
	// while, until something else crashed the endpoint.
	minCoverage   = 0.9
	minFreshShare = 0.9
	// minAccounted is the share of a shared part's crashes that rare parts must have been at
	// to be the cause in its place.
	minAccounted = 2.0 / 3
	// reportDelay is how long hosts may take to report a crash: a long poll and the time
	// to notice that the connection broke.
	reportDelay = 700 * time.Millisecond
	// survivalWait is how long after its last necessary crash a shared part is given for one
	// of its requests to survive: reading the prompt, SurvivalTime and a report.
	survivalWait = 1800 * time.Millisecond
	// tieWait is how long parts that were at the same crashes are given for one of them to be
	// told apart.
	tieWait = 1500 * time.Millisecond
	// maxTied is how many parts are detected together after partCrashes.
	maxTied = 2
	// massCrashes is the number of endpoints of one failure domain, or connections of one
	// host, from which on their loss within massWindow counts as a single crash, unless later
	// evidence tells them apart.
	massCrashes = 3
	massWindow  = 500 * time.Millisecond
	// timeResolution is by how much reported times of crashes and sends may be off.
	timeResolution = 2 * time.Millisecond
	// maxSharedCandidates bounds the shared parts that are compared, those at the most crashes.
	maxSharedCandidates = 32
)

// partCandidate is a part that may have caused its crashes.
type partCandidate struct {
	part     Fingerprint
	suspect  *partSuspect
	crashes  int           // each crashGroup counts as one
	requests int           // that the crashes broke
	fresh    int           // of requests
	writing  time.Duration // mean, of requests
	shared   bool          // by many requests
	settled  int           // crashes of which all that was there is known
	coverage float64       // share of such crashes since its first one
	enoughAt time.Time     // when the last necessary crash came
}

// crashGroup is crashes that count as one: a mass loss, or those that are attributed to a
// request or another part, which may crash endpoints for a reason of its own.
type crashGroup struct {
	endpoint  uint32 // the incarnation that stands for the mass loss
	claimedBy Fingerprint
}

// The weights of crash groups, in halves: two requests that are detected by themselves are
// enough if they share a rare part. Of an unseen crash the cause may have parts that aren't known.
const (
	groupWeight   = 2
	claimedWeight = 3
	unseenWeight  = 1
)

// groupedCrash is the first crash of a group.
type groupedCrash struct {
	at     time.Time
	weight int
}

// guilty returns the parts that are detected as the cause of their crashes: one, or several
// that were always there together. The last result says whether they are shared by many
// requests.
func (t *partTable) guilty(now time.Time) ([]Fingerprint, bool) {
	rare, shared, groups := t.candidates()
	shared = t.plausible(shared, groups, now)
	if len(rare) > 0 && !explained(rare, shared) {
		if out := equals(rare, shared, now); len(out) > 0 {
			return out, false
		}
	}
	shared = slices.DeleteFunc(shared, func(c partCandidate) bool { return min(c.crashes, c.settled) < sharedPartCrashes })
	if len(shared) == 0 || now.Sub(shared[0].enoughAt) < survivalWait {
		return nil, false
	}
	return []Fingerprint{shared[0].part}, true
}

// plausible returns the shared parts that may be the cause of their crashes, the most probable
// first: it was at the most crashes since it survived, and of those that were at as many the one
// whose requests had been written for the shortest time, since those of the others had not all
// just begun.
func (t *partTable) plausible(shared []partCandidate, groups *massLosses, now time.Time) []partCandidate {
	shared = shared[:min(len(shared), maxSharedCandidates)]
	for i := range shared {
		c := &shared[i]
		c.settled = t.settled(c.suspect, now)
		c.coverage = t.coverage(c.suspect, groups, now)
	}
	shared = slices.DeleteFunc(shared, func(c partCandidate) bool {
		return c.coverage < minCoverage || float64(c.fresh) < minFreshShare*float64(c.requests)
	})
	sort.SliceStable(shared, func(i, k int) bool {
		a, b := &shared[i], &shared[k]
		switch {
		case a.settled != b.settled:
			return a.settled > b.settled
		case a.writing != b.writing:
			return a.writing < b.writing
		}
		return a.requests < b.requests
	})
	return shared
}

// explained reports whether a shared part explains the crashes of the rare ones: it was at many
// more crashes, which these don't account for together.
func explained(rare, shared []partCandidate) bool {
	accounted := map[uint32]bool{}
	for i := range rare {
		for id := range rare[i].suspect.crashes {
			accounted[id] = true
		}
	}
	for i := range shared {
		n := 0
		for id := range shared[i].suspect.crashes {
			if accounted[id] {
				n++
			}
		}
		if float64(max(n, rare[0].crashes)) < minAccounted*float64(shared[i].crashes) {
			return true
		}
	}
	return false
}

// equals returns the first of the candidates with those that can't be told from it; none while
// it may still become clear which of them, or of the shared parts, is the cause. Many parts that
// were at the same few crashes are there by coincidence.
func equals(list, shared []partCandidate, now time.Time) []Fingerprint {
	first := &list[0]
	tied := slices.DeleteFunc(slices.Clone(list), func(c partCandidate) bool {
		return c.crashes < first.crashes || !first.suspect.sharesCrashes(c.suspect)
	})
	others := slices.ContainsFunc(list, func(c partCandidate) bool { return !first.suspect.sharesCrashes(c.suspect) })
	contested := !others && slices.ContainsFunc(shared, func(c partCandidate) bool {
		return c.crashes > first.crashes && first.suspect.sharesCrashes(c.suspect)
	})
	if (contested || len(tied) > 1) && now.Sub(first.enoughAt) < tieWait {
		return nil
	}
	out := []Fingerprint{}
	for i := range tied {
		if tied[i].requests == tied[0].requests {
			out = append(out, tied[i].part)
		}
	}
	if len(out) > maxTied && tied[0].crashes < sharedPartCrashes {
		return nil
	}
	return out
}

// sharesCrashes reports whether another part was at half of the crashes or more.
func (s *partSuspect) sharesCrashes(other *partSuspect) bool {
	n := 0
	for id := range s.crashes {
		if other.crashes[id] != nil {
			n++
		}
	}
	return 2*n >= len(s.crashes)
}

// candidates returns the parts with enough crashes under different requests, those with the
// most crashes first, and of these the ones with the fewest requests; groups are the mass
// losses.
func (t *partTable) candidates() (rare, shared []partCandidate, groups *massLosses) {
	var present presence
	for f, s := range t.suspects {
		if len(s.crashes) < minCandidateCrashes {
			continue
		}
		if groups == nil {
			groups = t.massLosses()
		}
		c, ok := t.candidate(f, s, groups)
		if ok && present == nil {
			present = t.presence()
		}
		switch {
		case !ok || present.oneRequest(s):
		case c.shared:
			shared = append(shared, c)
		default:
			rare = append(rare, c)
		}
	}
	for _, list := range [][]partCandidate{rare, shared} {
		sort.Slice(list, func(i, k int) bool {
			a, b := &list[i], &list[k]
			if a.crashes != b.crashes {
				return a.crashes > b.crashes
			}
			return a.requests < b.requests || a.requests == b.requests && a.part < b.part
		})
	}
	return rare, shared, groups
}

// presence is, by incarnation, requests that were at its crash.
type presence map[uint32]map[Fingerprint]bool

// presence returns the requests that hosts named for any of their parts.
func (t *partTable) presence() presence {
	out := presence{}
	for _, s := range t.suspects {
		for id, c := range s.crashes {
			if out[id] == nil {
				out[id] = map[Fingerprint]bool{}
			}
			out[id][c.request] = true
		}
	}
	return out
}

// oneRequest reports whether one request was at all crashes of a part. That request may be the
// cause, and is detected by itself.
func (p presence) oneRequest(s *partSuspect) bool {
	var at []map[Fingerprint]bool
	for id := range s.crashes {
		at = append(at, p[id])
	}
	for request := range at[0] {
		if !slices.ContainsFunc(at, func(there map[Fingerprint]bool) bool { return !there[request] }) {
			return true
		}
	}
	return false
}

// candidate returns the suspect as a candidate, unless it was at too few crashes, or hosts named
// the same request at all of them.
func (t *partTable) candidate(f Fingerprint, s *partSuspect, groups *massLosses) (partCandidate, bool) {
	c := partCandidate{
		part:    f,
		suspect: s,
	}
	separate := t.separate(s, groups)
	first := map[crashGroup]groupedCrash{}
	requests := map[Fingerprint]bool{}
	for id, one := range s.crashes {
		requests[one.request] = true
		c.requests += one.requests
		c.fresh += one.fresh
		c.writing += one.total
		group, weight := t.groupOf(id, one, groups, separate)
		known, ok := first[group]
		if !ok || one.at.Before(known.at) {
			known.at = one.at
		}
		known.weight = max(known.weight, weight)
		first[group] = known
	}
	c.writing /= time.Duration(max(1, c.requests))
	c.crashes = len(first)
	c.shared = s.survived || c.requests > sharedRequests*len(s.crashes)
	necessary := t.least
	if c.shared {
		necessary = sharedPartCrashes
	}
	list := make([]groupedCrash, 0, len(first))
	for _, one := range first {
		list = append(list, one)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].at.Before(list[k].at) })
	weight := 0
	for _, one := range list {
		if weight += one.weight; weight >= groupWeight*necessary {
			c.enoughAt = one.at
			break
		}
	}
	// Shared ones are compared from t.least on.
	return c, (weight >= groupWeight*necessary || c.shared && c.crashes >= t.least) && len(requests) > 1
}

// groupOf returns the group of a crash, and its weight. A mass loss is one group, but for the
// crashes that count by themselves.
func (t *partTable) groupOf(endpoint uint32, c *partCrash, groups *massLosses, separate map[uint32]bool) (crashGroup, int) {
	if c.claimedBy != 0 {
		return crashGroup{
			claimedBy: c.claimedBy,
		}, claimedWeight
	}
	weight := groupWeight
	if t.unseen(endpoint) {
		weight = unseenWeight
	}
	if !separate[endpoint] {
		endpoint = groups.representative(endpoint)
	}
	return crashGroup{
		endpoint: endpoint,
	}, weight
}
