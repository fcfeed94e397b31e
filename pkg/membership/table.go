// Package membership decides which endpoints are live, leaving, suspect or
// dead, from the platform's lagging list, the reports of a few watchers an
// endpoint, and what endpoints say of themselves. It holds no clock and calls
// nobody.
//
// The rules, in the order in which they are tried:
//
//  1. Fresh trusted watchers and none reaches it: Dead if there are at least
//     two, or if the list lacks it as well.
//  2. Leaving in the list, or said by the endpoint itself: Leaving.
//  3. No fresh report from a trusted watcher: as before, or Joining if it was
//     never reached. Silence proves nothing.
//  4. Every fresh trusted watcher reaches it: Live, listed or not; a flapping
//     list can't remove what answers.
//  5. They disagree, or the one that reports can't reach it: Suspect.
//
// A watcher that reaches fewer than half of what it watches, and watches more
// than one, is cut off itself and isn't trusted.
package membership

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// freshness is how old a report may be to count: a watcher that is well
// reports every five seconds, and may miss one.
const freshness = 12 * time.Second

// forgetAfter is how long a dead endpoint that isn't listed is remembered.
const forgetAfter = 10 * time.Minute

type report struct {
	at        time.Time
	reachable bool
}

type row struct {
	info    *rpc.Endpoint
	listed  bool
	leaving bool // by the list
	self    bool // leaving, by its own word
	reports map[string]report
	version uint64
	since   time.Time
}

// Table is the endpoints as the leader knows them. It isn't safe for use by
// several goroutines.
//
// Invariants: version rises with every change that entry hosts must learn;
// a row's version is the table's when it last changed; an endpoint that was
// Leaving stays so until it returns with a new incarnation.
type Table struct {
	rows    map[string]*row
	version uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows: map[string]*row{},
	}
}

// Version returns the table's version.
func (t *Table) Version() uint64 {
	return t.version
}

// List takes the platform's list. An empty list is taken for a fault of the
// platform, and changes nothing.
func (t *Table) List(now time.Time, list api.HostList) {
	if len(list.Hosts) == 0 {
		return
	}
	for _, r := range t.rows {
		r.listed = false
	}
	for _, h := range list.Hosts {
		r := t.row(h.Address)
		r.listed = true
		r.leaving = h.Leaving
		if r.info.GetService() != h.Service || r.info.GetDomain() != h.Domain {
			r.info.Service = h.Service
			r.info.Domain = h.Domain
			t.changed(r, now)
		}
	}
	t.Judge(now)
}

// Report takes what one watcher saw.
func (t *Table) Report(now time.Time, watcher string, reports []*rpc.EndpointReport) {
	for _, p := range reports {
		r, ok := t.rows[p.GetAddress()]
		if !ok {
			continue
		}
		r.reports[watcher] = report{
			at:        now,
			reachable: p.GetReachable(),
		}
		if p.GetInfo() != nil {
			t.learn(now, r, p.GetInfo())
		}
	}
}

// learn takes what an endpoint said of itself.
func (t *Table) learn(now time.Time, r *row, info *rpc.Endpoint) {
	if info.GetIncarnation() < r.info.GetIncarnation() {
		return // an older life's report came late
	}
	if info.GetIncarnation() > r.info.GetIncarnation() {
		r.self = false
	}
	r.self = r.self || info.GetState() == rpc.EndpointState_ENDPOINT_LEAVING
	next := proto.Clone(info).(*rpc.Endpoint)
	next.Address = r.info.GetAddress()
	next.Service = r.info.GetService()
	next.Domain = r.info.GetDomain()
	next.State = r.info.GetState()
	if !proto.Equal(next, r.info) {
		r.info = next
		t.changed(r, now)
	}
}

// Judge applies the rules to every endpoint.
func (t *Table) Judge(now time.Time) {
	trusted := t.trustedWatchers(now)
	for address, r := range t.rows {
		state := judge(r, now, trusted)
		if state != r.info.GetState() {
			r.info = proto.Clone(r.info).(*rpc.Endpoint)
			r.info.State = state
			t.changed(r, now)
		}
		if state == rpc.EndpointState_ENDPOINT_DEAD && !r.listed && now.Sub(r.since) > forgetAfter {
			delete(t.rows, address)
		}
	}
}

func judge(r *row, now time.Time, trusted map[string]bool) rpc.EndpointState {
	yes, no := 0, 0
	for watcher, p := range r.reports {
		switch {
		case now.Sub(p.at) > freshness || !trusted[watcher]:
		case p.reachable:
			yes++
		default:
			no++
		}
	}
	switch {
	case no > 0 && yes == 0 && (no >= 2 || !r.listed):
		return rpc.EndpointState_ENDPOINT_DEAD
	case r.leaving || r.self:
		return rpc.EndpointState_ENDPOINT_LEAVING
	case yes+no == 0 && r.info.GetState() == rpc.EndpointState_ENDPOINT_UNSPECIFIED:
		return rpc.EndpointState_ENDPOINT_JOINING
	case yes+no == 0:
		return r.info.GetState()
	case no == 0:
		return rpc.EndpointState_ENDPOINT_LIVE
	default:
		return rpc.EndpointState_ENDPOINT_SUSPECT
	}
}

// trustedWatchers returns the watchers that aren't cut off themselves.
func (t *Table) trustedWatchers(now time.Time) map[string]bool {
	seen := map[string]int{}
	reached := map[string]int{}
	for _, r := range t.rows {
		for watcher, p := range r.reports {
			if now.Sub(p.at) > freshness {
				continue
			}
			seen[watcher]++
			if p.reachable {
				reached[watcher]++
			}
		}
	}
	trusted := map[string]bool{}
	for watcher, n := range seen {
		trusted[watcher] = n == 1 || reached[watcher]*2 >= n
	}
	return trusted
}

// Since returns what changed after version, sorted by address.
func (t *Table) Since(version uint64) []*rpc.Endpoint {
	var list []*rpc.Endpoint
	for _, r := range t.rows {
		if r.version > version {
			list = append(list, r.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetAddress() < list[j].GetAddress() })
	return list
}

// Addresses returns every endpoint's address, sorted.
func (t *Table) Addresses() []string {
	list := make([]string, 0, len(t.rows))
	for a := range t.rows {
		list = append(list, a)
	}
	sort.Strings(list)
	return list
}

func (t *Table) row(address string) *row {
	r, ok := t.rows[address]
	if !ok {
		r = &row{
			info: &rpc.Endpoint{
				Address: address,
			},
			reports: map[string]report{},
		}
		t.rows[address] = r
	}
	return r
}

func (t *Table) changed(r *row, now time.Time) {
	t.version++
	r.version = t.version
	r.since = now
}
