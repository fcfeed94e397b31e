package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	// maxOwnCrashes bounds the crashes that an entry host keeps to report, and maxOwnParts
	// the parts of each that were at no other of them.
	maxOwnCrashes = 64
	maxOwnParts   = 256
	// maxPartsPerCall bounds the parts that one call reports, at about 40 bytes each.
	maxPartsPerCall = 64
)

// partReports is the crashes that an entry host saw, with the parts that were there, until
// every leader knows of them.
type partReports struct {
	crashes map[uint32]*ownCrash // by incarnation
}

type ownCrash struct {
	domain uint32
	at     time.Time
	parts  map[Fingerprint]*ownPart
}

// ownPart is what the host saw of one part at a crash. Its requests are noticed one after
// the other, so that a report may have to be completed by another.
type ownPart struct {
	crash    PartCrash
	reported partCounts // that the leader of term knows of
	sent     partCounts // of the report in progress
	term     uint64
}

// partCounts is how many requests broke, and how many of them were fresh.
type partCounts struct {
	requests int
	fresh    int
	writing  time.Duration
}

func newPartReports() *partReports {
	return &partReports{
		crashes: map[uint32]*ownCrash{},
	}
}

// add records that a crash broke one request with these parts.
func (r *partReports) add(c *EndpointCrash, now time.Time) {
	own := r.crashes[c.Endpoint]
	if own == nil {
		r.makeRoom(now)
		own = &ownCrash{
			domain: c.Domain,
			at:     c.At,
			parts:  map[Fingerprint]*ownPart{},
		}
		r.crashes[c.Endpoint] = own
	}
	for _, i := range rand.Perm(len(c.Parts)) { // the choice is random where there are too many
		p := c.Parts[i]
		known := own.parts[p.Part]
		switch {
		case known == nil && (len(own.parts) < maxOwnParts || r.crashesWith(p.Part) > 0):
			own.parts[p.Part] = &ownPart{
				crash: p,
			}
		case known != nil:
			known.crash.Requests += p.Requests
			known.crash.Fresh += p.Fresh
			known.crash.TotalWriting += p.TotalWriting
			if p.Writing < known.crash.Writing {
				known.crash.Writing = p.Writing
				known.crash.Request = p.Request
			}
		}
	}
}

// retract drops the crash of an incarnation that was heard from at a later time.
func (r *partReports) retract(endpoint uint32, heard time.Time) {
	if own := r.crashes[endpoint]; own != nil && heard.Sub(own.at) >= aliveMargin {
		delete(r.crashes, endpoint)
	}
}

// crashesWith returns at how many crashes a part was present.
func (r *partReports) crashesWith(part Fingerprint) int {
	n := 0
	for _, c := range r.crashes {
		if c.parts[part] != nil {
			n++
		}
	}
	return n
}

// makeRoom drops old crashes, and the oldest if there are maxOwnCrashes.
func (r *partReports) makeRoom(now time.Time) {
	oldest := uint32(0)
	at := now.Add(time.Second)
	for id, c := range r.crashes {
		if now.Sub(c.at) > reportRetention {
			delete(r.crashes, id)
			continue
		}
		if c.at.Before(at) {
			oldest, at = id, c.at
		}
	}
	if len(r.crashes) >= maxOwnCrashes {
		delete(r.crashes, oldest)
	}
}

// unreported returns what the leader of a term wasn't told yet, the oldest crashes first, and
// of each the parts that were at the most crashes first, of these the ones whose requests had
// been written for the shortest time.
func (r *partReports) unreported(term uint64, survivals *survivals) []EndpointCrash {
	ids := slices.Sorted(maps.Keys(r.crashes))
	sort.SliceStable(ids, func(i, k int) bool { return r.crashes[ids[i]].at.Before(r.crashes[ids[k]].at) })
	var out []EndpointCrash
	n := 0
	for _, id := range ids {
		own := r.crashes[id]
		c := EndpointCrash{
			Endpoint: id,
			Domain:   own.domain,
			At:       own.at,
		}
		for _, p := range r.unreportedOf(own, term) {
			if n++; n > maxPartsPerCall {
				break
			}
			one := p.crash
			known := p.reportedIn(term)
			one.Requests -= known.requests
			one.Fresh -= known.fresh
			one.TotalWriting -= known.writing
			one.Survival = survivals.of(one.Part)
			p.sent = partCounts{
				requests: p.crash.Requests,
				fresh:    p.crash.Fresh,
				writing:  p.crash.TotalWriting,
			}
			c.Parts = append(c.Parts, one)
		}
		if len(c.Parts) > 0 {
			out = append(out, c)
		}
	}
	return out
}

func (p *ownPart) reportedIn(term uint64) partCounts {
	if p.term != term {
		return partCounts{}
	}
	return p.reported
}

func (r *partReports) unreportedOf(c *ownCrash, term uint64) []*ownPart {
	var list []*ownPart
	crashes := map[Fingerprint]int{}
	for f, p := range c.parts {
		if p.crash.Requests > p.reportedIn(term).requests {
			list = append(list, p)
			crashes[f] = r.crashesWith(f)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := &list[i].crash, &list[k].crash
		switch {
		case crashes[a.Part] != crashes[b.Part]:
			return crashes[a.Part] > crashes[b.Part]
		case a.Writing != b.Writing:
			return a.Writing < b.Writing
		}
		return a.Part < b.Part
	})
	return list
}

// acknowledge records that the leader of a term received what unreported returned last.
func (r *partReports) acknowledge(term uint64, crashes []EndpointCrash) {
	for _, c := range crashes {
		own := r.crashes[c.Endpoint]
		if own == nil {
			continue
		}
		for _, one := range c.Parts {
			if p := own.parts[one.Part]; p != nil {
				p.reported = p.sent
				p.term = term
			}
		}
	}
}
