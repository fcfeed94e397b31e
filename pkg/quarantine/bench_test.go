package quarantine

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// crowded returns a full set of requests with one end each.
func crowded() *Detector {
	s := NewDetector(timer.NewManual(time.Unix(1000, 0)))
	for f := range Fingerprint(maxSuspects) {
		s.Add(early(f, uint32(f%300), time.Second), false)
	}
	return s
}

// BenchmarkAddToFull gives what an end costs the leader while it knows as many as it
// keeps, and BenchmarkJudgeFull what judging them does.
func BenchmarkAddToFull(b *testing.B) {
	s := crowded()
	f := Fingerprint(maxSuspects)
	for b.Loop() {
		f++
		s.Add(early(f, 1, time.Second), false)
	}
}

func BenchmarkJudgeFull(b *testing.B) {
	s := crowded()
	for b.Loop() {
		s.Detect(never)
	}
}

// BenchmarkBlameInFull gives what an end under a request that is held costs.
func BenchmarkBlameInFull(b *testing.B) {
	s := crowded()
	for b.Loop() {
		s.Add(early(1<<40, 1<<20, time.Second), true)
	}
}
