package fleetcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// evidenceFixture is a leader, and a host that reports to it.
type evidenceFixture struct {
	*Server
	clock    *timer.Manual
	sequence uint64
}

func withEvidence(f func(b *evidenceFixture)) {
	withLeaders(func(lead func(term uint64) *Server, clock *timer.Manual) {
		f(&evidenceFixture{Server: lead(3), clock: clock})
	})
}

func (b *evidenceFixture) sync(q *rpc.SyncRequest) *rpc.SyncReply {
	q.Host = &rpc.FleetHost{Name: "h"}
	q.ReportsParts = true
	return b.answer(q)
}

// answer answers what a host reports.
func (b *evidenceFixture) answer(q *rpc.SyncRequest) *rpc.SyncReply {
	machine := b.leadership.(*fixedLeadership).machine
	b.observeCrashes(q, machine, 3)
	reply := &rpc.SyncReply{}
	b.addDecisions(q, reply, machine)
	b.addGrants(q, reply, machine)
	return reply
}

// announce sends a heartbeat of an incarnation.
func (b *evidenceFixture) announce(id string) {
	b.sequence++
	own, startedAt := fleet.SplitIncarnation(id)
	b.table.Announce(fleet.Endpoint{ID: id, StartedAt: startedAt, Service: "models", Address: own + ":1", Sequence: b.sequence, LastHeartbeat: b.clock.Now()})
}

// crash reports crashes of endpoints that were announced before, one after the other.
func (b *evidenceFixture) crash(report func(endpoint uint32) *rpc.SyncRequest, ids ...string) {
	for _, id := range ids {
		b.announce(id)
		b.clock.Advance(massLossTime)
		b.sync(report(fleet.LoadKey(id)))
	}
}

// massLossTime is the time between crashes that aren't taken for a mass loss.
const massLossTime = 600 * time.Millisecond

func ofPart(endpoint uint32) *rpc.SyncRequest {
	c := partCrash(endpoint)
	c.MsAgo = 0
	return &rpc.SyncRequest{Crashes: []*rpc.EndpointCrash{c}}
}

func ofRequest(endpoint uint32) *rpc.SyncRequest {
	return &rpc.SyncRequest{Ended: []*rpc.EndedSend{crashOf(endpoint)}}
}

// pass lets time pass while the leader decides.
func (b *evidenceFixture) pass(d time.Duration) {
	for range int(d / quarantineInterval) {
		b.clock.Advance(quarantineInterval)
		b.updateQuarantine(context.Background())
	}
}

// held returns what is quarantined: requests and parts.
func (b *evidenceFixture) held() []uint64 {
	list := []uint64{}
	for _, q := range b.leadership.(*fixedLeadership).machine.Quarantine() {
		list = append(list, q.Fingerprint)
	}
	return list
}

var _ = Describe("crashes of endpoints that live", func() {
	crashed := []string{"a@1", "b@1", "c@1"}
	kinds := []struct {
		name   string
		report func(endpoint uint32) *rpc.SyncRequest
		held   uint64
	}{{"a part", ofPart, crashPart}, {"a request", ofRequest, crashFingerprint}}
	for _, k := range kinds {
		It("are taken back by a heartbeat, as is what is quarantined because of them, also in the log: "+k.name, func() {
			withEvidence(func(b *evidenceFixture) {
				b.crash(k.report, crashed...)
				b.pass(time.Second)
				Expect(b.held()).To(Equal([]uint64{k.held}))
				b.announce("b@1")
				b.pass(retractInterval)
				Expect(b.held()).To(BeEmpty())
				b.pass(time.Second)
				evidence := b.leadership.(*fixedLeadership).machine.CrashEvidence()
				for _, p := range evidence.GetParts() {
					for _, c := range p.GetCrashes() {
						Expect(c.GetEndpoint()).NotTo(Equal(fleet.LoadKey("b@1")))
					}
				}
				for _, c := range evidence.GetRequests() {
					Expect(c.GetEndpoint()).NotTo(Equal(fleet.LoadKey("b@1")))
				}
				Expect(len(evidence.GetParts()) + len(evidence.GetRequests())).To(BeNumerically(">", 0))
			})
		})

		It("are taken back before anything is quarantined: "+k.name, func() {
			withEvidence(func(b *evidenceFixture) {
				for _, id := range append(slices.Clone(crashed), "d@1", "e@1") {
					b.crash(k.report, id)
					b.pass(time.Second)
					b.announce(id)
					b.pass(time.Second)
				}
				Expect(b.held()).To(BeEmpty())
			})
		})

		It("are not taken back by heartbeats that were sent before and arrive late: "+k.name, func() {
			withEvidence(func(b *evidenceFixture) {
				for _, id := range crashed {
					b.crash(k.report, id)
					b.clock.Advance(maxHeartbeatDelay - time.Millisecond)
					b.announce(id)
					b.pass(retractInterval)
				}
				b.pass(time.Second)
				Expect(b.held()).To(Equal([]uint64{k.held}))
			})
		})

		for _, c := range []struct {
			name    string
			crashed []string
			then    func(b *evidenceFixture)
		}{
			{"another incarnation", crashed, func(b *evidenceFixture) { b.announce("b@2") }},
			{"an endpoint that doesn't report its start", []string{"a", "b", "c"}, func(b *evidenceFixture) { b.announce("b") }},
			{"a deregistration", crashed, func(b *evidenceFixture) { b.table.MarkGone("b@1") }},
			{"a heartbeat from before the crash", crashed, func(*evidenceFixture) {}},
		} {
			It("are not taken back by "+c.name+": "+k.name, func() {
				withEvidence(func(b *evidenceFixture) {
					b.crash(k.report, c.crashed...)
					b.pass(time.Second)
					c.then(b)
					b.pass(time.Second)
					Expect(b.held()).To(Equal([]uint64{k.held}))
				})
			})
		}
	}
})
