package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartOf returns the fingerprint of a part of prompts for one service. Requests that share the
// part share it, whatever else they hold.
func PartOf(service, id string) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString("part\x00" + service + "\x00" + id) // never returns an error
	return Fingerprint(h.Sum64())
}

// PartsOf returns the fingerprints of the parts of one prompt, each once.
func PartsOf(service string, ids []string) []Fingerprint {
	out := make([]Fingerprint, 0, len(ids))
	seen := make(map[Fingerprint]bool, len(ids))
	for _, id := range ids {
		p := PartOf(service, id)
		if !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	return out
}

// PartCrash is what one host saw of one part at the crash of an endpoint.
type PartCrash struct {
	Part Fingerprint
	// Requests is how many requests with the part the crash broke, and Fresh how many of
	// them had been written for less than SurvivalTime.
	Requests int
	Fresh    int
	// TotalWriting is for how long all of them had been written, together.
	TotalWriting time.Duration
	// Request is the one of them that had been written for the shortest time, and Writing
	// that time: 0 before its first event.
	Request Fingerprint
	Writing time.Duration
	// Survival is what the host knows of other requests with the part.
	Survival Survival
}

// EndpointCrash is the crash of one endpoint, as one host saw it.
type EndpointCrash struct {
	// Endpoint identifies the incarnation, and Domain its failure domain; 0 if unknown.
	Endpoint uint32
	Domain   uint32
	At       time.Time
	Parts    []PartCrash
}

// Survival is evidence that a part doesn't crash endpoints: requests with it that were still
// being answered when a request with a part that does would have crashed its endpoint.
type Survival struct {
	Part Fingerprint
	// WrittenAt is when the last request was sent that was written for SurvivalTime, and
	// AnsweredAt when the last one was sent that was answered completely; zero if none was.
	WrittenAt  time.Time
	AnsweredAt time.Time
}

const (
	// SurvivalTime is for how long a request must have been written to show that its parts
	// don't crash endpoints. Those that do crash them within 0.2 s of the start.
	SurvivalTime = 500 * time.Millisecond
	// soonCrash is how long after the first event a crash comes at most that such a request
	// disproves; a later one is disproved by a complete answer only.
	soonCrash = SurvivalTime / 4
	// maxWriting is for how long a request may have been written when the endpoint crashes
	// to count as its cause.
	maxWriting = 2 * time.Second
)

// Known reports whether any request survived.
func (s *Survival) Known() bool {
	return !s.WrittenAt.IsZero() || !s.AnsweredAt.IsZero()
}

// after reports whether a request survived that was sent after a time.
func (s *Survival) after(t time.Time) bool {
	return s.WrittenAt.After(t) || s.AnsweredAt.After(t)
}

// disproves reports whether the survival shows that a crash wasn't caused by the part: a
// request that was sent after it survived.
func (s *Survival) disproves(c *partCrash) bool {
	return s.AnsweredAt.After(c.at) || c.writing <= soonCrash && s.WrittenAt.After(c.at)
}

// merge adds newer evidence.
func (s *Survival) merge(n Survival) {
	if n.WrittenAt.After(s.WrittenAt) {
		s.WrittenAt = n.WrittenAt
	}
	if n.AnsweredAt.After(s.AnsweredAt) {
		s.AnsweredAt = n.AnsweredAt
	}
}
