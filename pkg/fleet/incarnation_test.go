package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an incarnation's id", func() {
	It("splits into the endpoint's own id and start time, whatever the id", func() {
		cases := []struct {
			ownID     string
			startedAt int64
		}{
			{"i-1", 0}, {"i-1", 1700000000123}, {"a@b", 0}, {"a@7", 0}, {"a@7", 9}, {"", 5}, {"x@", 3},
		}
		seen := map[string]bool{}
		for _, c := range cases {
			incarnation := IncarnationID(c.ownID, c.startedAt)
			Expect(seen[incarnation]).To(BeFalse(), incarnation)
			seen[incarnation] = true
			ownID, startedAt := SplitIncarnation(incarnation)
			Expect(ownID).To(Equal(c.ownID))
			Expect(startedAt).To(Equal(c.startedAt))
		}
	})
})
