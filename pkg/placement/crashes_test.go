package placement

import (
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("crashes while loading", func() {
	ginkgo.It("put an address in backoff, longer with each one up to a bound, unless the endpoint held its layers", func() {
		tracker := newCrashTracker()
		now := time.Unix(1000, 0)
		loading := func(string) bool { return true }
		holding := func(string) bool { return false }
		next := 0
		join := func(isLoading func(string) bool) bool {
			next++
			return tracker.observe(&fleet.Endpoint{ID: strconv.Itoa(next), Address: "a"}, now, isLoading)
		}
		Expect(join(holding)).To(BeFalse())
		for range 10 { // crashes of endpoints that hold their layers
			Expect(join(holding)).To(BeFalse())
		}
		Expect(join(loading)).To(BeFalse())
		Expect(join(loading)).To(BeFalse())
		for backoff := minBackoff; backoff < 4*maxBackoff; backoff *= 2 {
			Expect(join(loading)).To(BeTrue())
			same := &fleet.Endpoint{ID: strconv.Itoa(next), Address: "a"}
			now = now.Add(min(backoff, maxBackoff) - time.Millisecond)
			Expect(tracker.observe(same, now, loading)).To(BeTrue())
			now = now.Add(time.Millisecond)
			Expect(tracker.observe(same, now, loading)).To(BeFalse())
		}
		tracker.observe(&fleet.Endpoint{ID: strconv.Itoa(next), Address: "a", Layers: fleet.Range{From: 0, To: 8}}, now, loading)
		Expect(join(loading)).To(BeFalse(), "an incarnation has carried out its order since")
	})
})
