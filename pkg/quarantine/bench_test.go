package quarantine

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// fullDetector returns a full set of requests with one end each.
func fullDetector() *Detector {
	d := NewDetector(timer.NewManual(time.Unix(1000, 0)))
	for f := range Fingerprint(maxSuspects) {
		d.Add(earlyCrash(f, uint32(f%300), time.Second), false)
	}
	return d
}

// BenchmarkAddToFull gives what an end costs the leader while it knows as many as it
// keeps, and BenchmarkJudgeFull what judging them does.
func BenchmarkAddToFull(b *testing.B) {
	d := fullDetector()
	f := Fingerprint(maxSuspects)
	for b.Loop() {
		f++
		d.Add(earlyCrash(f, 1, time.Second), false)
	}
}

func BenchmarkJudgeFull(b *testing.B) {
	d := fullDetector()
	for b.Loop() {
		d.Detect(never)
	}
}

// BenchmarkBlameInFull gives what an end under a request that is held costs.
func BenchmarkBlameInFull(b *testing.B) {
	d := fullDetector()
	for b.Loop() {
		d.Add(earlyCrash(1<<40, 1<<20, time.Second), true)
	}
}
