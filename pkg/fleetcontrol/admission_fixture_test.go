package fleetcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

const admissionTerm = 5

// fakeAllocator allocates what a test sets, and records what it is told.
type fakeAllocator struct {
	mu         sync.Mutex
	allocation admission.Allocation
	reported   map[string][]admission.Report // by host
	capacities map[string]float64            // of the services that were asked for
	hosts      int                           // in the last call of Allocate
	resets     int
}

func newFakeAllocator() *fakeAllocator {
	return &fakeAllocator{
		reported:   map[string][]admission.Report{},
		capacities: map[string]float64{},
	}
}

func (a *fakeAllocator) Observe(host string, reports []admission.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported[host] = reports
}

func (a *fakeAllocator) Forget(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reported, host)
}

func (a *fakeAllocator) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = map[string][]admission.Report{}
	a.resets++
}

func (a *fakeAllocator) Allocate(service string, capacity float64, hosts int) (admission.Allocation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacities[service] = capacity
	a.hosts = hosts
	if len(a.reported)*10 < hosts*9 {
		return admission.Allocation{}, false
	}
	allocation := a.allocation
	allocation.Service = service
	return allocation, true
}

// shortage is an allocation that admits half of rank 1.
func shortage(lasted time.Duration) admission.Allocation {
	return admission.Allocation{
		Capacity:  8000,
		InFlight:  9000,
		ByAccount: true,
		Shortage:  lasted,
		Classes: []admission.ClassShare{
			{Class: admission.Class{}, Share: 1},
			{Class: admission.Class{Rank: 1}, Share: 0.5, Accounts: []admission.AccountShare{{Account: 7, Share: 0.25}}},
			{Class: admission.Class{Rank: 1, Late: true}, Share: 0},
		},
	}
}

func (a *fakeAllocator) set(next admission.Allocation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocation = next
}

// admissionConfig is a configuration with a service under admission control, models, one of
// engines whose requests don't differ in rank, and one that isn't of engines.
func admissionConfig(version uint64, modelsRanked bool) *fleet.Configuration {
	engine := &fleet.Engine{
		Model:      "m0",
		Layers:     8,
		LayerMB:    1000,
		CacheBytes: 1000,
		Kinds:      map[string]fleet.Kind{"k": {MB: 16000}},
	}
	cfg := &fleet.Configuration{
		Version: version,
		Services: []fleet.Service{
			{Name: "models", Engine: engine},
			{Name: "uniform", Engine: engine},
			{Name: "plain"},
		},
	}
	add := func(prefix, service string, priority int) {
		cfg.Routes = append(cfg.Routes, fleet.Route{
			Name:     prefix,
			Host:     "h",
			Prefix:   prefix,
			Timeout:  time.Second,
			Priority: priority,
			Split:    []fleet.Share{{Service: service, Weight: 1}},
		})
	}
	add("/models/a/", "models", 0)
	if modelsRanked {
		add("/models/b/", "models", 1)
	}
	add("/uniform/a/", "uniform", 1)
	add("/uniform/b/", "uniform", 1)
	add("/plain/a/", "plain", 0)
	add("/plain/b/", "plain", 1)
	return cfg
}

// wholeEngine is an endpoint of the service models that holds all layers.
func wholeEngine(i int) fleet.Endpoint {
	e := engineEndpoint(i, 1, fleet.Range{To: 8})
	e.Kind = "k"
	return e
}

// commit makes content the committed configuration of a machine.
func commit(machine *state.Machine, version uint64, content []byte) {
	packed, err := fleet.Pack(content)
	Expect(err).NotTo(HaveOccurred())
	command, err := proto.Marshal(&rpc.Command{
		Kind: &rpc.Command_Document{Document: &rpc.Document{Version: version, Content: packed}},
	})
	Expect(err).NotTo(HaveOccurred())
	_, err = machine.Apply(command)
	Expect(err).NotTo(HaveOccurred())
}

func commitConfig(machine *state.Machine, cfg *fleet.Configuration) {
	text, err := json.Marshal(cfg)
	Expect(err).NotTo(HaveOccurred())
	commit(machine, cfg.Version, text)
}

// admissionFixture is a leader with a fake allocator, which began its term just now.
type admissionFixture struct {
	server    *Server
	machine   *state.Machine
	allocator *fakeAllocator
	clock     *timer.Manual
	out       *syncBuffer
}

// syncBuffer is a buffer that a log writes to while a test reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func withAdmission(f func(x *admissionFixture)) {
	withLeaders(func(lead func(term uint64) *Server, clock *timer.Manual) {
		x := &admissionFixture{
			server:    lead(admissionTerm),
			allocator: newFakeAllocator(),
			clock:     clock,
			out:       &syncBuffer{},
		}
		x.machine = state.New(claimWindow.Milliseconds())
		x.lead(admissionTerm)
		log := eventlog.New(x.out, clock, "c1", 100)
		g := group.New(context.Background())
		defer g.Stop()
		g.Go(log.Run)
		x.server.cfg.Decoder = jsonDecoder{}
		x.server.admission = newAdmissionControl(x.allocator, x.server.table, log, x.server.cfg.Metrics)
		commitConfig(x.machine, admissionConfig(1, true))
		f(x)
	})
}

// lead makes the replica the leader in a term.
func (x *admissionFixture) lead(term uint64) {
	x.server.leadership = &fixedLeadership{term: term, machine: x.machine}
	x.server.recordLeading(term, x.clock.Now())
}

// loseLead makes another replica the leader.
func (x *admissionFixture) loseLead() {
	x.server.leadership = &fixedLeadership{}
}

// admissionRequest is the call of host n, which reports tokens asked for of models and waits
// for changes.
func admissionRequest(n int, tokens uint32) *rpc.SyncRequest {
	q := syncRequest(n, true)
	q.Epoch = epochOf(admissionTerm, false)
	q.WaitMs = uint32(callInterval.Milliseconds())
	q.Admission = []*rpc.AdmissionReport{{
		Service:        "models",
		InFlightTokens: 50,
		Demand:         []*rpc.AdmissionDemand{{Class: 2, Tokens: tokens, Streams: 1}},
	}}
	return q
}

// report lets hosts call, without their replies.
func (x *admissionFixture) report(hosts int) {
	for i := range hosts {
		q := admissionRequest(i, 600)
		x.server.hosts.observe(x.clock.Now(), q)
		x.server.admission.observe(q, x.term())
	}
}

func (x *admissionFixture) term() uint64 {
	_, term, _ := x.server.leadership.Leads(context.Background())
	return term
}

// settle waits until every host has had time to call.
func (x *admissionFixture) settle() {
	x.clock.Advance(hostTimeout + 1)
}

// reply returns the part of a reply to host n that is about admission.
func (x *admissionFixture) reply(q *rpc.SyncRequest) *rpc.SyncReply {
	reply := &rpc.SyncReply{}
	x.server.admission.addTo(reply, q, x.term(), x.clock.Now())
	return reply
}

func (x *admissionFixture) update() {
	x.server.updateAdmission(context.Background())
}

func (x *admissionFixture) gauge(name string) int64 {
	return x.server.cfg.Metrics.Gauge(name, metrics.Label{
		Name:  "service",
		Value: "models",
	}).Value()
}
