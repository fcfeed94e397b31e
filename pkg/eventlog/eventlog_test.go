package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEventLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventlog")
}

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// eventTable returns the table of events that the documentation should have.
func eventTable() string {
	var b strings.Builder
	for _, e := range Events {
		fmt.Fprintf(&b, "| %s |\n", e)
	}
	return b.String()
}

var _ = Describe("the log", func() {
	It("writes one valid JSON object per line for any values", func() {
		out := &bytes.Buffer{}
		l := New(out, timer.NewManual(time.Unix(0, 0)), "h\"1", 10)
		l.Event(RequestRefused, Str("why", "a \"b\"\n\x01 \\ \xff é"), Int("n", -3), Ms("after_ms", time.Second), Err(nil))
		l.flush()
		line := map[string]any{}
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line["event"]).To(Equal("request_refused"))
		Expect(line["host"]).To(Equal(`h"1`))
		Expect(line["n"]).To(BeEquivalentTo(-3))
		Expect(line["after_ms"]).To(BeEquivalentTo(1000))
		Expect(line["why"]).To(ContainSubstring("\n"))
	})

	It("keeps to its budget, counts dropped lines, and drops successes first", func() {
		out := &bytes.Buffer{}
		clock := timer.NewManual(time.Unix(0, 0))
		l := New(out, clock, "h", 10)
		for range 100 {
			l.Event(RequestServed)
		}
		for range 100 {
			l.Event(RequestFailed)
		}
		l.flush()
		Expect(strings.Count(out.String(), "request_served")).To(Equal(5))
		Expect(strings.Count(out.String(), "request_failed")).To(Equal(5))
		Expect(l.Dropped()).To(BeEquivalentTo(190))
		clock.Advance(time.Second)
		l.Event(RequestFailed)
		l.flush()
		Expect(strings.Count(out.String(), "request_failed")).To(Equal(6))
	})

	It("doesn't block when its reader stops reading", func() {
		release := make(chan struct{})
		l := New(blockedWriter{release: release}, timer.NewManual(time.Unix(0, 0)), "h", 1_000_000)
		g := group.New(context.Background())
		g.Go(l.Run)
		for range 10 * queueSize {
			l.Event(RequestFailed)
		}
		Expect(l.Dropped()).To(BeNumerically(">", 0))
		close(release)
		g.Stop()
	})

	It("has the events that the documentation lists", func() {
		const file = "../../docs/operate/logs.md"
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for _, e := range Events {
			Expect(string(text)).To(ContainSubstring("| "+string(e)+" |"), "docs/operate/logs.md lacks an event")
		}
		Expect(strings.Count(string(text), "\n| ")).To(Equal(len(Events)+1), "docs/operate/logs.md lists an event that isn't one:\n"+eventTable())
	})
})
