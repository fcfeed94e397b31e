package timeline

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

const logs = `collector says {"time":"2026-01-01T00:00:10.000Z","host":"h1","event":"attempt_failed","request":"r1","endpoint":"e1","why":"status 503","after_ms":3}
not a line
{"time":"2026-01-01T00:00:09.900Z","host":"c1","event":"endpoint_silent","endpoint":"e1","address":"10.0.0.1:1","age_ms":400}
{"time":"2026-01-01T00:00:09.950Z","host":"c1","event":"endpoint_silent","endpoint":"e9","address":"10.0.0.9:1","age_ms":400}
{"time":"2026-01-01T00:00:10.100Z","host":"h1","event":"request_refused","request":"r1","kind":"overloaded","after_ms":103}
{"time":"2026-01-01T00:00:10.100Z","host":"h2","event":"request_refused","request":"r2","kind":"overloaded","after_ms":1}
{"time":"2026-01-01T00:00:08.000Z","host":"h1","event":"control_lost","address":"10.0.0.7:1"}
{"time":"2026-01-01T00:00:08.000Z","host":"h2","event":"control_lost","address":"10.0.0.7:1"}
{"time":"2026-01-01T00:00:01.000Z","host":"h1","event":"control_lost","address":"10.0.0.7:1"}
`

var _ = Describe("a request's timeline", func() {
	It("has its lines from all hosts, and those of the endpoints and hosts involved, in order", func() {
		lines, err := Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		Expect(lines).To(HaveLen(8))
		var events []string
		for _, l := range ForRequest(lines, "r1") {
			events = append(events, l.Host+" "+l.Event)
		}
		Expect(events).To(Equal([]string{"h1 control_lost", "c1 endpoint_silent", "h1 attempt_failed", "h1 request_refused"}))
	})

	It("shows why admission control refused a request", func() {
		lines, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:10.000Z","host":"h1","event":"request_refused","request":"r1","kind":"overloaded",` +
			`"why":"overloaded: no capacity for rank 1","after_ms":0,"retry_after_ms":2345,"route":"background","account":"acc",` +
			`"rank":1,"share":"0.250","shortage_ms":2000,"figures_age_ms":300}`))
		Expect(err).NotTo(HaveOccurred())
		found := ForRequest(lines, "r1")
		Expect(found).To(HaveLen(1))
		Expect(found[0].Text()).To(Equal("account=acc after_ms=0 figures_age_ms=300 kind=overloaded rank=1 request=r1 " +
			"retry_after_ms=2345 route=background share=0.250 shortage_ms=2000 why=overloaded: no capacity for rank 1"))
	})

	It("is empty for a request that no line names", func() {
		lines, err := Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		Expect(ForRequest(lines, "r9")).To(BeEmpty())
	})
})
