package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

const (
	// maxAllocationBytes is the size of an allocation that the design allows.
	maxAllocationBytes = 500
	// hostCallsPerSecond is how often a host calls the leader.
	hostCallsPerSecond = 2.5
)

// testService is a service name of a usual length.
const testService = "chat-large"

// largestReport is a host's report with as many demands as are allowed.
func largestReport() Report {
	r := Report{
		Service:  testService,
		InFlight: 180_000,
		Finished: 900_000_000,
	}
	for i := range maxDemands {
		r.Demand = append(r.Demand, Demand{
			Class:   ClassAt(i % 6),
			Account: AccountKey(fmt.Sprint("account", i)),
			Tokens:  9000,
			Streams: 7,
		})
	}
	return r
}

// largestAllocation is an allocation with as many account shares as are allowed beside a table.
func largestAllocation() Allocation {
	a := listedAllocation(tabledAccountShares)
	a.Classes[2].Others = &ShareTable{Seed: math.MaxUint32, Shares: make([]float64, tableCells)}
	for i := range a.Classes[2].Others.Shares {
		a.Classes[2].Others.Shares[i] = levelShare(byte(i % (maxLevel + 1)))
	}
	return a
}

// listedAllocation is an allocation with n account shares and no table.
func listedAllocation(n int) Allocation {
	a := Allocation{
		Service:   testService,
		Capacity:  90_000_000,
		InFlight:  95_000_000,
		ByAccount: true,
		Shortage:  9 * time.Second,
	}
	for i := range 6 {
		a.Classes = append(a.Classes, ClassShare{
			Class: ClassAt(i),
			Share: 0.9,
		})
	}
	for i := range n {
		c := &a.Classes[i%len(a.Classes)]
		c.Accounts = append(c.Accounts, AccountShare{
			Account: AccountKey(fmt.Sprint("account", i)),
			Share:   0.321,
		})
	}
	return a
}

// A field that is lost or swapped would allocate by wrong figures.
func TestMessagesKeepEveryField(t *testing.T) {
	g := NewWithT(t)
	single := Report{
		Service: "single",
		Demand:  []Demand{{Class: Class{Rank: 2}, Account: 4, Tokens: 900, Streams: 1}},
	}
	reports := []Report{largestReport(), single, {Service: "idle"}}
	g.Expect(ReportsFromWire(ReportsToWire(reports))).To(Equal(reports))
	allocations := []Allocation{largestAllocation(), {Service: "idle"}}
	g.Expect(AllocationsFromWire(AllocationsToWire(allocations))).To(Equal(allocations))
}

// A small share that became 0 would refuse an account altogether, and one that became 1
// would end the limit.
func TestSharesAreRoundedToThousandths(t *testing.T) {
	cases := []struct {
		share float64
		want  float64
	}{
		{share: 0, want: 0},
		{share: -0.1, want: 0},
		{share: math.NaN(), want: 0},
		{share: 1e-9, want: 0.001},
		{share: 0.0004, want: 0.001},
		{share: 0.0014, want: 0.001},
		{share: 0.4996, want: 0.5},
		{share: 0.99999, want: 0.999},
		{share: 1, want: 1},
		{share: 1.7, want: 1},
		{share: math.Inf(1), want: 1},
	}
	for _, c := range cases {
		NewWithT(t).Expect(shareFromWire(shareToWire(c.share))).To(Equal(c.want), fmt.Sprint(c.share))
	}
}

// Values that don't fit must not wrap around to small ones.
func TestFiguresAreBoundedWhenSent(t *testing.T) {
	cases := []struct {
		tokens float64
		want   uint32
	}{
		{tokens: -5, want: 0},
		{tokens: math.NaN(), want: 0},
		{tokens: 0.6, want: 1},
		{tokens: 5e9, want: math.MaxUint32},
		{tokens: math.Inf(1), want: math.MaxUint32},
	}
	for _, c := range cases {
		NewWithT(t).Expect(tokensToWire(c.tokens)).To(Equal(c.want), fmt.Sprint(c.tokens))
	}
	g := NewWithT(t)
	g.Expect(millisecondsToWire(-time.Second)).To(Equal(uint32(0)))
	g.Expect(millisecondsToWire(time.Microsecond)).To(Equal(uint32(1)), "a shortage that has just begun is one")
	g.Expect(millisecondsToWire(100 * 24 * time.Hour)).To(Equal(uint32(math.MaxUint32)))
	sent := ReportsToWire([]Report{{
		Service:  "s",
		Finished: math.Inf(1),
		Demand: []Demand{
			{Class: Class{Rank: -1}, Tokens: 5, Streams: 1},
			{Class: Class{Rank: 1000}, Tokens: 5, Streams: 1},
			{Class: Class{Rank: 1}, Tokens: 5, Streams: -1},
		},
	}})[0]
	g.Expect(sent.GetFinishedTokens()).To(Equal(uint64(maxWireFinished)))
	g.Expect(sent.GetDemand()).To(HaveLen(1))
	g.Expect(sent.GetDemand()[0].GetStreams()).To(BeZero())
	g.Expect(streamsToWire(1 << 40)).To(Equal(uint32(maxWireStreams)))
}

// One faulty host must neither disturb the sums nor exhaust the leader's memory, and its
// valid entries still count.
func TestInvalidReportsAreDroppedEntryByEntry(t *testing.T) {
	many := &rpc.AdmissionReport{Service: "many"}
	for range 2 * maxWireDemands {
		many.Demand = append(many.Demand, &rpc.AdmissionDemand{Tokens: 1, Streams: 1})
	}
	got := ReportsFromWire([]*rpc.AdmissionReport{
		nil,
		{InFlightTokens: 7},
		{Service: "absurd", FinishedTokens: math.MaxUint64},
		{Service: "s", InFlightTokens: 3, Demand: []*rpc.AdmissionDemand{
			nil,
			{Class: maxWireClass + 1, Tokens: 1, Streams: 1},
			{Class: math.MaxUint32, Tokens: 1, Streams: 1},
			{Class: 1, Streams: 1},
			{Class: 1, Tokens: 1, Streams: math.MaxUint32},
			{Class: 1, Account: 8, Tokens: 50, Streams: 2},
		}},
		many,
	})
	g := NewWithT(t)
	g.Expect(got).To(HaveLen(2))
	g.Expect(got[0]).To(Equal(Report{
		Service:  "s",
		InFlight: 3,
		Demand: []Demand{{
			Class:   Class{Late: true},
			Account: 8,
			Tokens:  50,
			Streams: 2,
		}},
	}))
	g.Expect(got[1].Demand).To(HaveLen(maxWireDemands))
	var services []*rpc.AdmissionReport
	var allocations []*rpc.Admission
	for i := range 2 * maxWireServices {
		services = append(services, &rpc.AdmissionReport{Service: fmt.Sprint(i)})
		allocations = append(allocations, &rpc.Admission{Service: fmt.Sprint(i)})
	}
	g.Expect(ReportsFromWire(services)).To(HaveLen(maxWireServices))
	g.Expect(AllocationsFromWire(allocations)).To(HaveLen(maxWireServices))
}

// An account with another's share would be refused in its place, so lists that don't match
// leave the accounts with the share of the class.
func TestInvalidAllocationsAreDroppedEntryByEntry(t *testing.T) {
	got := AllocationsFromWire([]*rpc.Admission{
		nil,
		{CapacityTokens: 5},
		{Service: "s", Classes: []*rpc.AdmissionClass{
			{Class: maxWireClass + 1, Share: 5},
			{Class: 1, Share: sharePrecision + 1},
			{Class: 2, Share: 500, Accounts: []uint32{7, 8}, AccountShares: []uint32{100}},
			{Class: 4, Share: 250, Accounts: []uint32{0, 8, 9}, AccountShares: []uint32{100, 5000, 300}},
			{Class: 6, Share: 750, Accounts: make([]uint32, maxWireAccounts+1), AccountShares: make([]uint32, maxWireAccounts+1)},
		}},
	})
	NewWithT(t).Expect(got).To(Equal([]Allocation{{
		Service: "s",
		Classes: []ClassShare{
			{Class: Class{Rank: 1}, Share: 0.5},
			{Class: Class{Rank: 2}, Share: 0.25, Accounts: []AccountShare{{Account: 9, Share: 0.3}}},
			{Class: Class{Rank: 3}, Share: 0.75},
		},
	}}))
}

// Control traffic is bounded for each host; the messages are its largest part.
func TestMessagesStayWithinTheirSizes(t *testing.T) {
	g := NewWithT(t)
	allocation := proto.Size(&rpc.SyncReply{Admission: AllocationsToWire([]Allocation{largestAllocation()})})
	g.Expect(allocation).To(BeNumerically("<", maxAllocationBytes))
	report := proto.Size(&rpc.SyncRequest{Admission: ReportsToWire([]Report{largestReport()})})
	g.Expect(report).To(BeNumerically("<", 560))
	t.Logf("allocation with %d account shares: %d bytes; report with %d demands: %d bytes; both a second: %.0f bytes",
		tabledAccountShares, allocation, maxDemands, report, hostCallsPerSecond*float64(allocation+report))
	for _, long := range []Allocation{largestAllocation(), listedAllocation(maxAccountShares)} {
		long.Service = strings.Repeat("s", 64)
		g.Expect(proto.Size(AllocationsToWire([]Allocation{long})[0])).To(BeNumerically("<", maxAllocationBytes), "also with a long name")
	}
}

// The leader receives all hosts' reports: 450 hosts that report as much as they may.
func TestLeaderTrafficAt450Hosts(t *testing.T) {
	const hosts = 450
	report := proto.Size(&rpc.SyncRequest{Admission: ReportsToWire([]Report{largestReport()})})
	allocation := proto.Size(&rpc.SyncReply{Admission: AllocationsToWire([]Allocation{largestAllocation()})})
	received := hosts * hostCallsPerSecond * float64(report)
	sent := hosts * hostCallsPerSecond * float64(allocation)
	t.Logf("received %.0f KB/s, sent %.0f KB/s", received/1e3, sent/1e3)
	g := NewWithT(t)
	g.Expect(received).To(BeNumerically("<", 650e3))
	g.Expect(sent).To(BeNumerically("<", 600e3))
}
