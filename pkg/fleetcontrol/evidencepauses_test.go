package fleetcontrol

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	modelSeeds = 20
	// pausesTime and deadlyTime are how long a run takes; the latter includes a part's probation.
	pausesTime = 24 * time.Second
	deadlyTime = 40 * time.Second
	// maxWrong is how long a wrong verdict on a part that all requests share may last after the first
	// survivor.
	maxWrong = 3 * time.Second
	maxLate  = 3
)

// These guard against sound endpoints that fall silent for 0.3 to 3 s being taken for crashed ones, so that
// nearly all requests are refused as quarantined, and against detecting less beside that.
var _ = Describe("crash evidence, model", func() {
	run := func(c evidenceCase, d time.Duration, check func(m *evidenceModel, seed string)) {
		for seed := range uint64(modelSeeds) {
			runEvidence(c, seed, d, func(m *evidenceModel) { check(m, fmt.Sprintf("seed %d", seed)) })
		}
	}

	for _, c := range []struct {
		name string
		evidenceCase
	}{
		{"now and then", evidenceCase{pauses: 0.7}},
		{"in series, from the first streams on", evidenceCase{inSeries: true}},
		{"beside kept connections that are closed as a request goes out", evidenceCase{pauses: 0.7, idleCloses: 0.03}},
		{"in series beside such connections", evidenceCase{inSeries: true, idleCloses: 0.01}},
	} {
		It("quarantines nothing while sound endpoints pause: "+c.name, func() {
			run(c.evidenceCase, pausesTime, func(m *evidenceModel, seed string) {
				Expect(m.served).To(BeNumerically(">", 300), seed)
				Expect(m.refused).To(BeZero(), seed)
				Expect(m.held).To(BeEmpty(), seed)
			})
		})
	}

	for _, c := range []struct {
		name  string
		wrong int // in so many runs there is such a verdict
		evidenceCase
	}{
		{"hosts of earlier releases take pauses in series for crashes", modelSeeds, evidenceCase{inSeries: true, blames: true}},
		{"they take pauses now and then for crashes", 0, evidenceCase{pauses: 0.7, blames: true}},
		{"they do once, and endpoints don't report their start, so that only a trial shows it", modelSeeds / 2, evidenceCase{inSeries: true, calm: true, blames: true, noStart: true}},
	} {
		It("ends a wrong verdict on what all requests share within 3 s of the first survivor: "+c.name, func() {
			wrong := 0
			run(c.evidenceCase, pausesTime, func(m *evidenceModel, seed string) {
				if !m.over.IsZero() {
					wrong++
				}
				Expect(m.wrongFor()).To(BeNumerically("<=", maxWrong), seed)
				Expect(m.served).To(BeNumerically(">", 300), seed)
			})
			Expect(wrong).To(BeNumerically(">=", c.wrong), "or the model doesn't show it")
		})
	}

	for _, c := range []struct {
		name string
		evidenceCase
	}{
		{"alone", evidenceCase{deadly: 8}},
		{"beside pauses", evidenceCase{deadly: 8, pauses: 0.7}},
		{"beside pauses in series", evidenceCase{deadly: 8, inSeries: true}},
		{"connections stay open", evidenceCase{deadly: 24, dark: true}},
		{"connections stay open, beside pauses", evidenceCase{deadly: 24, dark: true, pauses: 0.7}},
	} {
		It("detects a part that crashes endpoints, and no other: "+c.name, func() {
			run(c.evidenceCase, deadlyTime, func(m *evidenceModel, seed string) {
				Expect(m.late).To(BeNumerically("<=", maxLate), seed)
				Expect(m.held).To(HaveKey(uint64(deadlyPart)), seed)
				Expect(m.held).NotTo(HaveKey(uint64(commonPart)), seed)
				Expect(m.refused).To(BeZero(), seed)
			})
		})
	}
})
