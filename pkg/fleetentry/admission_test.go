package fleetentry

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refusingAddress is one that nothing listens on: the kernel chooses no port below 1024 for a test
// process beside this one.
const refusingAddress = "127.0.0.1:1"

// fakeAdmission has the reports that a test sets, and records what it is given.
type fakeAdmission struct {
	reports []admission.Report
	applied [][]admission.Allocation
	ages    []time.Duration
}

func (a *fakeAdmission) TakeReports() []admission.Report {
	list := a.reports
	a.reports = nil
	return list
}

func (a *fakeAdmission) Apply(list []admission.Allocation, age time.Duration) {
	a.applied = append(a.applied, list)
	a.ages = append(a.ages, age)
}

// fakeFull has the entries that a test sets, and records those that it is given.
type fakeFull struct {
	own    []shedding.Entry
	merged []shedding.Entry
}

func (f *fakeFull) List() []shedding.Entry { return f.own }

func (f *fakeFull) Merge(entries []shedding.Entry) { f.merged = append(f.merged, entries...) }

// newTestSources returns sources that have nothing to report but the load of fakeLoads.
func newTestSources(clock timer.Service) Sources {
	return Sources{
		Loads:      &fakeLoads{},
		Quarantine: quarantine.NewEnforcer(clock),
		Backoffs:   backoff.New(clock),
		Permits:    permit.NewHolder(clock, 1),
		Admission:  &fakeAdmission{},
		Full:       &fakeFull{},
	}
}

// withAdmission runs f with a client whose admission and full endpoints a test controls.
func withAdmission(f func(client *ControlClient, a *fakeAdmission, full *fakeFull, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	client := newTestClient(clock)
	a, full := &fakeAdmission{}, &fakeFull{}
	sources := newTestSources(clock)
	sources.Admission = a
	sources.Full = full
	client.SetSources(sources)
	f(client, a, full, clock)
}

func demandReport(tokens float64) admission.Report {
	return admission.Report{
		Service:  "s",
		InFlight: 500,
		Finished: 9000,
		Demand: []admission.Demand{{
			Class:   admission.Class{Rank: 1},
			Account: 7,
			Tokens:  tokens,
			Streams: 2,
		}},
	}
}

// allocationReply is a confirmed reply with an allocation of half the demand of rank 1.
func allocationReply(heldMS uint32) *rpc.SyncReply {
	reply := confirmedReply(3)
	reply.HeldMs = heldMS
	reply.AdmissionValid = true
	reply.Admission = admission.AllocationsToWire([]admission.Allocation{halfOfRank1()})
	return reply
}

func halfOfRank1() admission.Allocation {
	return admission.Allocation{
		Service:  "s",
		Capacity: 8000,
		Shortage: time.Second,
		Classes: []admission.ClassShare{{
			Class: admission.Class{Rank: 1},
			Share: 0.5,
		}},
	}
}

var _ = Describe("an entry host's part of admission control", func() {
	It("reports with each call; a demand that is lost with a call isn't reported again", func() {
		withAdmission(func(client *ControlClient, a *fakeAdmission, _ *fakeFull, _ *timer.Manual) {
			a.reports = []admission.Report{demandReport(300)}
			q := client.syncRequest(otherHostControl)
			Expect(admission.ReportsFromWire(q.GetAdmission())).To(Equal([]admission.Report{demandReport(300)}))
			a.reports = []admission.Report{demandReport(40)} // the call above got no reply
			q = client.syncRequest(otherHostControl)
			Expect(admission.ReportsFromWire(q.GetAdmission())).To(Equal([]admission.Report{demandReport(40)}))
		})
	})

	// Otherwise the leader couldn't tell a host that has nothing to report from one of an older
	// version, and would wait for its report forever.
	It("takes part without anything to report, too", func() {
		withAdmission(func(client *ControlClient, _ *fakeAdmission, _ *fakeFull, _ *timer.Manual) {
			q := client.syncRequest(otherHostControl)
			Expect(q.GetAdmission()).To(HaveLen(1))
			Expect(admission.ReportsFromWire(q.GetAdmission())).To(BeEmpty())
		})
	})

	It("applies the allocations of a reply, aged from when the leader stopped holding the call open", func() {
		cases := []struct {
			name   string
			heldMS uint32
			took   time.Duration
			age    time.Duration
		}{
			{name: "answered at once", heldMS: 0, took: 30 * time.Millisecond, age: 30 * time.Millisecond},
			{name: "held open", heldMS: 400, took: 430 * time.Millisecond, age: 30 * time.Millisecond},
			{name: "delayed on its way", heldMS: 400, took: 1300 * time.Millisecond, age: 900 * time.Millisecond},
			{name: "the leader's clock runs faster", heldMS: 401, took: 400 * time.Millisecond, age: 0},
		}
		for _, c := range cases {
			withAdmission(func(client *ControlClient, a *fakeAdmission, _ *fakeFull, clock *timer.Manual) {
				sent := clock.Now()
				clock.Advance(c.took)
				Expect(client.applyReply("c", allocationReply(c.heldMS), sent)).To(BeTrue())
				Expect(a.applied).To(Equal([][]admission.Allocation{{halfOfRank1()}}), c.name)
				Expect(a.ages).To(Equal([]time.Duration{c.age}), c.name)
			})
		}
	})

	It("applies an empty list, which ends all limits, and keeps what it holds without a valid list", func() {
		withAdmission(func(client *ControlClient, a *fakeAdmission, _ *fakeFull, clock *timer.Manual) {
			none := confirmedReply(3) // of a leader that doesn't know enough yet, or of an older version
			client.applyReply("c", none, clock.Now())
			Expect(a.applied).To(BeEmpty())
			invalid := allocationReply(0)
			invalid.AdmissionValid = false
			client.applyReply("c", invalid, clock.Now())
			Expect(a.applied).To(BeEmpty())
			empty := confirmedReply(3)
			empty.AdmissionValid = true
			client.applyReply("c", empty, clock.Now())
			Expect(a.applied).To(HaveLen(1))
			Expect(a.applied[0]).To(BeEmpty())
		})
	})

	// Two leaders would allocate the same capacity twice.
	It("applies nothing of a reply that isn't confirmed", func() {
		unconfirmed := allocationReply(0)
		unconfirmed.Confirmed = false
		unconfirmed.Full = []*rpc.FullEndpoint{{Endpoint: 1, LeftMs: 900}}
		withControl(func(int, *rpc.SyncRequest) *rpc.SyncReply { return unconfirmed }, func(_ *fakeControl, address string) {
			withAdmission(func(client *ControlClient, a *fakeAdmission, full *fakeFull, _ *timer.Manual) {
				client.leaderHint = address
				Expect(client.sync(context.Background())).To(BeFalse())
				Expect(a.applied).To(BeEmpty())
				Expect(full.merged).To(BeEmpty())
			})
		})
	})

	It("goes on with the next call after a lost one", func() {
		withControl(func(int, *rpc.SyncRequest) *rpc.SyncReply { return allocationReply(0) }, func(c *fakeControl, address string) {
			withAdmission(func(client *ControlClient, a *fakeAdmission, _ *fakeFull, _ *timer.Manual) {
				a.reports = []admission.Report{demandReport(300)}
				client.leaderHint = refusingAddress
				Expect(client.sync(context.Background())).To(BeFalse())
				Expect(a.applied).To(BeEmpty())
				a.reports = []admission.Report{demandReport(40)}
				client.leaderHint = address
				Expect(client.sync(context.Background())).To(BeTrue())
				Expect(a.applied).To(HaveLen(1))
				Expect(c.calls).To(HaveLen(1))
				Expect(admission.ReportsFromWire(c.calls[0].GetAdmission())).To(Equal([]admission.Report{demandReport(40)}))
			})
		})
	})
})

var _ = Describe("an entry host's full endpoints", func() {
	const key = 77

	It("are reported once, and again if they stay full for longer or a call got no reply", func() {
		withAdmission(func(client *ControlClient, _ *fakeAdmission, full *fakeFull, clock *timer.Manual) {
			report := func() []*rpc.FullEndpoint { return client.syncRequest(otherHostControl).GetFull() }
			full.own = []shedding.Entry{{Key: key, Remaining: 900 * time.Millisecond}}
			Expect(report()).To(HaveLen(1))
			again := report()
			Expect(again).To(HaveLen(1), "the previous call got no reply")
			Expect(again[0].GetEndpoint()).To(Equal(uint32(key)))
			Expect(again[0].GetLeftMs()).To(Equal(uint32(900)))
			client.applyReply("c", confirmedReply(3), clock.Now())
			clock.Advance(400 * time.Millisecond)
			full.own = []shedding.Entry{{Key: key, Remaining: 500 * time.Millisecond}}
			Expect(report()).To(BeEmpty(), "the leader knows")
			full.own = []shedding.Entry{{Key: key, Remaining: 800 * time.Millisecond}}
			Expect(report()).To(HaveLen(1), "it was full again")
		})
	})

	It("aren't reported if they end before the leader could pass them on", func() {
		withAdmission(func(client *ControlClient, _ *fakeAdmission, full *fakeFull, _ *timer.Manual) {
			full.own = []shedding.Entry{
				{Key: 1, Remaining: minReportedFullTime},
				{Key: 2, Remaining: minReportedFullTime - time.Millisecond},
			}
			list := client.syncRequest(otherHostControl).GetFull()
			Expect(list).To(HaveLen(1))
			Expect(list[0].GetEndpoint()).To(Equal(uint32(1)))
		})
	})

	It("of other hosts are merged with the time that remains when the reply arrives", func() {
		withAdmission(func(client *ControlClient, _ *fakeAdmission, full *fakeFull, clock *timer.Manual) {
			reply := confirmedReply(3)
			reply.HeldMs = 300
			reply.Full = []*rpc.FullEndpoint{
				{Endpoint: 1, LeftMs: 900},
				{Endpoint: 2, LeftMs: 100},
			}
			sent := clock.Now()
			clock.Advance(400 * time.Millisecond)
			client.applyReply("c", reply, sent)
			Expect(full.merged).To(Equal([]shedding.Entry{{Key: 1, Remaining: 800 * time.Millisecond}}))
		})
	})

	It("of other hosts are bounded in number", func() {
		many := make([]*rpc.FullEndpoint, 3*shedding.MaxSent)
		for i := range many {
			many[i] = &rpc.FullEndpoint{Endpoint: uint32(i), LeftMs: 500}
		}
		Expect(fullFromWire(many, 0)).To(HaveLen(shedding.MaxSent))
		Expect(fullFromWire(many, 500*time.Millisecond)).To(BeEmpty())
	})

	It("are those of the tracker", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		tracker := shedding.New(clock)
		sources := newTestSources(clock)
		sources.Full = tracker
		client.SetSources(sources)
		tracker.Record("e1")
		Expect(client.syncRequest(otherHostControl).GetFull()[0].GetEndpoint()).To(Equal(fleet.LoadKey("e1")))
		reply := confirmedReply(3)
		reply.Full = []*rpc.FullEndpoint{{Endpoint: fleet.LoadKey("e2"), LeftMs: 400}}
		client.applyReply("c", reply, clock.Now())
		Expect(tracker.Remaining("e2")).To(Equal(400 * time.Millisecond))
	})
})
