package quarantine

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// fullDetector returns a detector with maxSuspects requests, each with one crash.
func fullDetector() *Detector {
	d := NewDetector(timer.NewManual(time.Unix(1000, 0)))
	for f := range Fingerprint(maxSuspects) {
		d.Add(earlyCrash(f, uint32(f%300), time.Second), false)
	}
	return d
}

// BenchmarkAddToFull measures adding a crash to a full detector.
func BenchmarkAddToFull(b *testing.B) {
	d := fullDetector()
	f := Fingerprint(maxSuspects)
	for b.Loop() {
		f++
		d.Add(earlyCrash(f, 1, time.Second), false)
	}
}

func BenchmarkDetectFull(b *testing.B) {
	d := fullDetector()
	for b.Loop() {
		d.Detect(never)
	}
}

// BenchmarkAttributeInFull measures a crash of a request that is already quarantined.
func BenchmarkAttributeInFull(b *testing.B) {
	d := fullDetector()
	for b.Loop() {
		d.Add(earlyCrash(1<<40, 1<<20, time.Second), true)
	}
}
