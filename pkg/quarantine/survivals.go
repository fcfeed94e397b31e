package quarantine

import "time"

const (
	// maxSurvivals bounds the parts of which an entry host remembers survivals, at about
	// 150 bytes each.
	maxSurvivals = 4096
	// evictionSample is how many of them are compared to evict the oldest.
	evictionSample = 16
)

// survivals is what an entry host knows of parts that requests survived with.
type survivals struct {
	parts map[Fingerprint]*survivalRecord
}

type survivalRecord struct {
	survival Survival
	reported Survival // to the leader of term
	term     uint64
}

func newSurvivals() *survivals {
	return &survivals{
		parts: map[Fingerprint]*survivalRecord{},
	}
}

func (s *survivals) record(v Survival) {
	r := s.parts[v.Part]
	if r == nil {
		if len(s.parts) >= maxSurvivals {
			s.evict()
		}
		r = &survivalRecord{}
		r.survival.Part = v.Part
		s.parts[v.Part] = r
	}
	r.survival.merge(v)
}

// repeat makes the survival of a part unreported.
func (s *survivals) repeat(part Fingerprint) {
	if r := s.parts[part]; r != nil {
		r.reported = Survival{}
	}
}

// evict drops the oldest of a few parts.
func (s *survivals) evict() {
	oldest := Fingerprint(0)
	at := time.Time{}
	n := 0
	for f, r := range s.parts { // in random order
		last := r.survival.WrittenAt
		if r.survival.AnsweredAt.After(last) {
			last = r.survival.AnsweredAt
		}
		if n == 0 || last.Before(at) {
			oldest, at = f, last
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(s.parts, oldest)
}

// of returns the survival of a part; zero times if there is none.
func (s *survivals) of(part Fingerprint) Survival {
	if r := s.parts[part]; r != nil {
		return r.survival
	}
	return Survival{
		Part: part,
	}
}

// unreported returns whether the leader of a term lacks the newest survival of a part.
func (s *survivals) unreported(part Fingerprint, term uint64) (Survival, bool) {
	r := s.parts[part]
	if r == nil || r.term == term && r.reported == r.survival {
		return Survival{}, false
	}
	return r.survival, true
}

// acknowledge records that the leader of a term received a survival.
func (s *survivals) acknowledge(v Survival, term uint64) {
	if r := s.parts[v.Part]; r != nil {
		r.reported = v
		r.term = term
	}
}
