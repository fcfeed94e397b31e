// Package membership decides which endpoints are live, leaving, suspect or
// dead, from the platform's host list, which lags, the reports of the few hosts
// that probe an endpoint (its watchers), and what endpoints report of themselves.
// It has no clock and makes no calls.
//
// The first rule that applies decides. Only reports of trusted watchers count,
// and only while they are no older than reportMaxAge:
//
//  1. There are reports, and no watcher reaches the endpoint: Dead if at least
//     two watchers report, or if the host list lacks the endpoint as well.
//  2. The host list or the endpoint itself says that it is leaving: Leaving.
//  3. There is no report: the state stays as it was, or becomes Joining if the
//     endpoint had none yet. Missing reports prove nothing.
//  4. Every watcher that reports reaches it: Live, listed or not, so that a host
//     list that flaps can't remove an endpoint that answers.
//  5. The watchers disagree, or the only one can't reach it: Suspect.
//
// A watcher of more than one endpoint that reaches fewer than half of them is
// taken to be cut off itself and isn't trusted.
package membership

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// reportMaxAge is how old a report may be to count. Watchers report every five
// seconds, so that one report may be missed.
const reportMaxAge = 12 * time.Second

// deadRetention is how long a dead endpoint that isn't listed is kept.
const deadRetention = 10 * time.Minute

type report struct {
	at        time.Time
	reachable bool
}

type entry struct {
	info          *rpc.Endpoint
	listed        bool
	listedLeaving bool              // leaving, by the host list
	selfLeaving   bool              // leaving, as the endpoint itself reported
	reports       map[string]report // by watcher
	version       uint64
	changedAt     time.Time
}

// Table is the endpoints as the leader knows them. It isn't safe for concurrent
// use.
//
// Invariants: version rises with every change that entry hosts must receive; an
// entry's version is the table's as of its last change; an endpoint that reported
// that it is leaving counts as leaving until it returns with a new incarnation.
type Table struct {
	entries map[string]*entry
	version uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: map[string]*entry{},
	}
}

// Version returns the version, which rises with every change.
func (t *Table) Version() uint64 {
	return t.version
}

// ApplyList applies the platform's host list. An empty list is taken for a fault of
// the platform and ignored.
func (t *Table) ApplyList(now time.Time, list api.HostList) {
	if len(list.Hosts) == 0 {
		return
	}
	for _, e := range t.entries {
		e.listed = false
	}
	for _, h := range list.Hosts {
		e := t.entryFor(h.Address)
		e.listed = true
		e.listedLeaving = h.Leaving
		if e.info.GetService() != h.Service || e.info.GetDomain() != h.Domain {
			e.info.Service = h.Service
			e.info.Domain = h.Domain
			t.markChanged(e, now)
		}
	}
	t.Evaluate(now)
}

// Report applies the probe results of one watcher. Addresses that the table
// doesn't hold are ignored.
func (t *Table) Report(now time.Time, watcher string, reports []*rpc.EndpointReport) {
	for _, r := range reports {
		e, ok := t.entries[r.GetAddress()]
		if !ok {
			continue
		}
		e.reports[watcher] = report{
			at:        now,
			reachable: r.GetReachable(),
		}
		if r.GetInfo() != nil {
			t.update(now, e, r.GetInfo())
		}
	}
}

// update applies what an endpoint reported of itself.
func (t *Table) update(now time.Time, e *entry, info *rpc.Endpoint) {
	if info.GetIncarnation() < e.info.GetIncarnation() {
		return // a late report of an older incarnation
	}
	if info.GetIncarnation() > e.info.GetIncarnation() {
		e.selfLeaving = false
	}
	e.selfLeaving = e.selfLeaving || info.GetState() == rpc.EndpointState_ENDPOINT_LEAVING
	next := proto.Clone(info).(*rpc.Endpoint)
	next.Address = e.info.GetAddress()
	next.Service = e.info.GetService()
	next.Domain = e.info.GetDomain()
	next.State = e.info.GetState()
	if !proto.Equal(next, e.info) {
		e.info = next
		t.markChanged(e, now)
	}
}

// Evaluate recomputes the state of every endpoint and removes dead ones after
// deadRetention.
func (t *Table) Evaluate(now time.Time) {
	trusted := t.trustedWatchers(now)
	for address, e := range t.entries {
		state := evaluate(e, now, trusted)
		if state != e.info.GetState() {
			e.info = proto.Clone(e.info).(*rpc.Endpoint)
			e.info.State = state
			t.markChanged(e, now)
		}
		if state == rpc.EndpointState_ENDPOINT_DEAD && !e.listed && now.Sub(e.changedAt) > deadRetention {
			delete(t.entries, address)
		}
	}
}

// evaluate returns an endpoint's state by the package's rules.
func evaluate(e *entry, now time.Time, trusted map[string]bool) rpc.EndpointState {
	reachedBy, missedBy := 0, 0
	for watcher, r := range e.reports {
		switch {
		case now.Sub(r.at) > reportMaxAge || !trusted[watcher]:
		case r.reachable:
			reachedBy++
		default:
			missedBy++
		}
	}
	switch {
	case missedBy > 0 && reachedBy == 0 && (missedBy >= 2 || !e.listed):
		return rpc.EndpointState_ENDPOINT_DEAD
	case e.listedLeaving || e.selfLeaving:
		return rpc.EndpointState_ENDPOINT_LEAVING
	case reachedBy+missedBy == 0 && e.info.GetState() == rpc.EndpointState_ENDPOINT_UNSPECIFIED:
		return rpc.EndpointState_ENDPOINT_JOINING
	case reachedBy+missedBy == 0:
		return e.info.GetState()
	case missedBy == 0:
		return rpc.EndpointState_ENDPOINT_LIVE
	default:
		return rpc.EndpointState_ENDPOINT_SUSPECT
	}
}

// trustedWatchers returns for each watcher with recent reports whether it is
// trusted.
func (t *Table) trustedWatchers(now time.Time) map[string]bool {
	total := map[string]int{}
	reached := map[string]int{}
	for _, e := range t.entries {
		for watcher, r := range e.reports {
			if now.Sub(r.at) > reportMaxAge {
				continue
			}
			total[watcher]++
			if r.reachable {
				reached[watcher]++
			}
		}
	}
	trusted := map[string]bool{}
	for watcher, n := range total {
		trusted[watcher] = n == 1 || reached[watcher]*2 >= n
	}
	return trusted
}

// Since returns the endpoints that changed after version, sorted by address.
func (t *Table) Since(version uint64) []*rpc.Endpoint {
	var list []*rpc.Endpoint
	for _, e := range t.entries {
		if e.version > version {
			list = append(list, e.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// Addresses returns every endpoint's address, sorted.
func (t *Table) Addresses() []string {
	list := make([]string, 0, len(t.entries))
	for a := range t.entries {
		list = append(list, a)
	}
	sort.Strings(list)
	return list
}

func (t *Table) entryFor(address string) *entry {
	e, ok := t.entries[address]
	if !ok {
		e = &entry{
			info: &rpc.Endpoint{
				Address: address,
			},
			reports: map[string]report{},
		}
		t.entries[address] = e
	}
	return e
}

func (t *Table) markChanged(e *entry, now time.Time) {
	t.version++
	e.version = t.version
	e.changedAt = now
}
