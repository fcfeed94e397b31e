package quarantine

import (
	"sort"
	"time"
)

const (
	// maxPartSuspects bounds the remembered parts, each of which takes about 300 bytes, and
	// maxIncarnations the remembered crashes.
	maxPartSuspects = 4096
	maxIncarnations = 1024
)

// partTable holds the crashes that parts of prompts were present at. Invariant: a suspect has
// at most one crash of each incarnation, and none that one of its survivals disproves or that
// is attributed to another part, or to a request without it.
type partTable struct {
	least    int // crashes from which on a part is detected that no request survived
	suspects map[Fingerprint]*partSuspect
	lost     map[uint32]*incarnationCrash
	requests requestCrashes
}

// requestCrashes tells which crashes whole requests were at.
type requestCrashes interface {
	// crashed reports whether an endpoint crashed under a request, and how long after it was sent.
	crashed(request Fingerprint, endpoint uint32) (after time.Duration, ok bool)
}

type partSuspect struct {
	crashes   map[uint32]*partCrash
	survival  Survival
	survived  bool // a request with the part survived, before or after the crashes
	lastCrash time.Time
}

// partCrash is one crash that a part was present at.
type partCrash struct {
	at       time.Time
	writing  time.Duration
	requests int
	fresh    int
	total    time.Duration // for which its requests had been written, together
	request  Fingerprint
	// claimedBy is what the crash is attributed to, if that may be there because of the part: the
	// request, or another part of its prompt.
	claimedBy Fingerprint
}

// incarnationCrash is the crash of one endpoint.
type incarnationCrash struct {
	at       time.Time
	domain   uint32
	reporter uint32 // the only host that reported it; 0 if several did
	// attributed says that it was attributed to a part or request that was detected.
	attributed bool
	// unseen says that a request was there that may be the cause, and whose parts aren't known.
	unseen bool
	// confirmed says that the endpoint wasn't heard of after the crash, and domainLives that
	// others of its failure domain were.
	confirmed   bool
	domainLives bool
	// peerHeard says that another endpoint was heard of whose crash was reported together with
	// this one.
	peerHeard bool
}

func newPartTable(least int, requests requestCrashes) *partTable {
	return &partTable{
		least:    least,
		requests: requests,
		suspects: map[Fingerprint]*partSuspect{},
		lost:     map[uint32]*incarnationCrash{},
	}
}

// lose returns the record of a crash that a host reported; nil if there are too many.
func (t *partTable) lose(c *EndpointCrash, reporter uint32) *incarnationCrash {
	l := t.lost[c.Endpoint]
	switch {
	case l == nil && len(t.lost) >= maxIncarnations:
		return nil
	case l == nil:
		l = &incarnationCrash{
			at:       c.At,
			reporter: reporter,
		}
		t.lost[c.Endpoint] = l
	}
	if l.reporter != reporter {
		l.reporter = 0
	}
	if l.domain == 0 {
		l.domain = c.Domain
	}
	return l
}

// add records a crash that a host reported, with the parts that were there.
func (t *partTable) add(c *EndpointCrash, reporter uint32) {
	at := c.At
	if l := t.lose(c, reporter); l != nil {
		at = l.at
	}
	for i := range c.Parts {
		if p := &c.Parts[i]; p.Writing <= maxWriting {
			t.addPart(c.Endpoint, at, p)
		}
	}
}

func (t *partTable) addPart(endpoint uint32, at time.Time, p *PartCrash) {
	s := t.suspects[p.Part]
	if s == nil {
		t.makeRoom()
		s = &partSuspect{
			crashes: map[uint32]*partCrash{},
		}
		t.suspects[p.Part] = s
	}
	if p.Survival.Known() {
		s.survive(p.Survival)
	}
	c := s.crashes[endpoint]
	if c == nil {
		c = &partCrash{
			at:      at,
			writing: p.Writing,
			request: p.Request,
		}
		if s.survival.disproves(c) {
			return
		}
		s.crashes[endpoint] = c
	}
	c.requests += p.Requests
	c.fresh += p.Fresh
	c.total += p.TotalWriting
	if p.Writing < c.writing {
		c.writing = p.Writing
		c.request = p.Request
	}
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
}

// makeRoom drops a suspect if there are maxPartSuspects already: of a few the one with the
// fewest crashes, of these the oldest. So a caller whose parts are all new hardly displaces
// those that were at several crashes.
func (t *partTable) makeRoom() {
	if len(t.suspects) < maxPartSuspects {
		return
	}
	worst := Fingerprint(0)
	var least *partSuspect
	n := 0
	for f, s := range t.suspects { // in random order
		if least == nil || len(s.crashes) < len(least.crashes) || len(s.crashes) == len(least.crashes) && s.lastCrash.Before(least.lastCrash) {
			worst, least = f, s
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(t.suspects, worst)
}

// survive records that a request with the part survived, and reports whether that is news
// about its crashes.
func (s *partSuspect) survive(v Survival) bool {
	news := !s.survived
	s.survived = true
	s.survival.merge(v)
	for id, c := range s.crashes {
		if s.survival.disproves(c) {
			delete(s.crashes, id)
			news = true
		}
	}
	return news
}

// attribute removes the crash of an incarnation from all parts but its cause, and those that may
// be the cause in its place: the parts of that request, or if the cause is a part, the other parts
// of the same request that haven't survived.
func (t *partTable) attribute(endpoint uint32, cause Fingerprint) {
	if l := t.lost[endpoint]; l != nil {
		l.attributed = true
	}
	request := cause
	if s := t.suspects[cause]; s != nil && s.crashes[endpoint] != nil {
		request = s.crashes[endpoint].request
	}
	for f, s := range t.suspects {
		c := s.crashes[endpoint]
		switch {
		case c == nil || f == cause:
		case c.request == cause, c.request == request && !s.survived:
			c.claimedBy = cause
		default:
			delete(s.crashes, endpoint)
		}
	}
}

// moreCrashes is how many more crashes than a whole request a part must have been at to
// explain those of the request.
const moreCrashes = 2

// explains reports whether a part was at all of these crashes and at moreCrashes others that
// aren't attributed to the request.
func (t *partTable) explains(request Fingerprint, endpoints []uint32) bool {
	for _, s := range t.suspects {
		all := true
		for _, id := range endpoints {
			all = all && s.crashes[id] != nil
		}
		if all && s.crashesBut(request) >= len(endpoints)+moreCrashes {
			return true
		}
	}
	return false
}

// crashesBut returns the number of crashes that aren't attributed to a request.
func (s *partSuspect) crashesBut(request Fingerprint) int {
	n := 0
	for _, c := range s.crashes {
		if c.claimedBy != request {
			n++
		}
	}
	return n
}

// expire drops what is older than crashRetention.
func (t *partTable) expire(now time.Time) {
	for f, s := range t.suspects {
		if now.Sub(s.lastCrash) > crashRetention {
			delete(t.suspects, f)
		}
	}
	for id, l := range t.lost {
		if now.Sub(l.at) > crashRetention {
			delete(t.lost, id)
		}
	}
}

// watched returns the parts with the most crashes, at most maxWatched.
func (t *partTable) watched() []Fingerprint {
	var list []Fingerprint
	for f, s := range t.suspects {
		if len(s.crashes) >= watchedCrashes {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := len(t.suspects[list[i]].crashes), len(t.suspects[list[k]].crashes)
		return a > b || a == b && list[i] < list[k]
	})
	return list[:min(len(list), maxWatched)]
}
