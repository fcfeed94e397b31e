package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = Describe("the builds that hosts run", func() {
	It("are counted by commit, shown when they change, and no longer counted once hosts are gone", func() {
		now := time.Unix(1000, 0)
		h := newHosts()
		observe := func(name, commit string) {
			h.observe(now, &rpc.SyncRequest{Host: &rpc.FleetHost{Name: name, Commit: commit}})
		}
		set, out := metrics.New(), gbytes.NewBuffer()
		log := eventlog.New(out, timer.NewSystem(), "h", 1000)
		g := group.New(context.Background())
		defer g.Stop()
		g.Go(func(ctx context.Context) { log.Run(ctx) })
		r := &buildRecord{log: log, metrics: set}
		shown := func(commit string) int64 {
			return set.Gauge("entry_hosts", metrics.Label{Name: "commit", Value: commit}).Value()
		}
		observe("a", "")
		observe("b", "c1")
		observe("c", "c1")
		r.update(h.builds())
		r.update(h.builds())
		Expect(shown(unnamedBuild)).To(BeEquivalentTo(1))
		Expect(shown("c1")).To(BeEquivalentTo(2))
		Eventually(out, "5s").Should(gbytes.Say("c1: 2, unnamed: 1"))
		observe("a", "c2")
		r.update(h.builds())
		Expect(shown(unnamedBuild)).To(BeZero())
		Eventually(out, "5s").Should(gbytes.Say("c1: 2, c2: 1"), "one line for each change")
		now = now.Add(2 * hostTimeout)
		observe("c", "c2")
		h.expire(now)
		r.update(h.builds())
		Expect(shown("c1")).To(BeZero())
		Expect(shown("c2")).To(BeEquivalentTo(1))
		r.update(nil)
		Expect(shown("c2")).To(BeZero(), "another replica leads")
	})
})
