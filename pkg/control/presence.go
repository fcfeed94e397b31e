package control

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/membership"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

// hostGoneAfter is how long after its last heartbeat an entry host counts as gone
// and is no longer listed to callers.
const hostGoneAfter = 6 * time.Second

// presence is the leader's knowledge of the entry hosts and endpoints. It isn't
// replicated: a new leader starts with none and collects it from heartbeats and
// the platform's list, under a new epoch, which is its term.
type presence struct {
	mu           sync.Mutex
	epoch        uint64
	listRead     bool // a non-empty list of the platform was read in this epoch
	entries      map[string]*entryHost
	version      uint64 // of entries; increases when one changes
	table        *membership.Table
	assignments  map[string][]string
	assignedFrom uint64 // digest of the hosts and endpoints that assignments were computed from
}

// entryHost is one entry host. Its version is the value of presence.version at the
// last change that other entry hosts must learn.
type entryHost struct {
	info          *rpc.EntryHost
	lastHeartbeat time.Time
	version       uint64
}

func newPresence() *presence {
	p := &presence{}
	p.reset(0)
	return p
}

func (p *presence) reset(epoch uint64) {
	p.epoch = epoch
	p.listRead = false
	p.entries = map[string]*entryHost{}
	p.version = 0
	p.table = membership.New()
	p.assignments = map[string][]string{}
	p.assignedFrom = 0
}

func (p *presence) heartbeat(now time.Time, epoch uint64, r *rpc.BeatRequest) *rpc.BeatReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginTerm(epoch)
	p.recordHeartbeat(now, r.GetHost())
	p.table.Report(now, r.GetHost().GetHost(), r.GetReports())
	reply := &rpc.BeatReply{
		EntriesVersion: p.version,
	}
	watch := p.assignments[r.GetHost().GetHost()]
	if reply.WatchDigest = digest(watch); reply.WatchDigest != r.GetWatchDigest() {
		reply.Watch = watch
	}
	newEpoch := r.GetEpoch() != p.epoch
	reply.Entries = p.entriesSince(r.GetEntriesVersion(), newEpoch)
	if !p.listRead {
		// Without the platform's list, p.table may be incomplete. A reply with
		// epoch 0 makes the host keep the endpoints that it has.
		return reply
	}
	reply.Epoch = p.epoch
	reply.Version = p.table.Version()
	known := r.GetVersion()
	if newEpoch {
		known = 0
		reply.Whole = true
	}
	reply.Endpoints = p.table.Since(known)
	return reply
}

// recordHeartbeat records a heartbeat of an entry host.
func (p *presence) recordHeartbeat(now time.Time, info *rpc.EntryHost) {
	e := p.entries[info.GetHost()]
	if e == nil {
		e = &entryHost{}
		p.entries[info.GetHost()] = e
	}
	if !equalForPeers(e.info, info) {
		p.version++
		e.version = p.version
	}
	e.info = info
	e.lastHeartbeat = now
}

// equalForPeers reports whether a and b are equal in everything that other entry
// hosts must learn. The active revision is left out, because it changes at every
// host with each bundle.
func equalForPeers(a, b *rpc.EntryHost) bool {
	return a.GetHost() == b.GetHost() && a.GetDomain() == b.GetDomain() &&
		a.GetCallerAddress() == b.GetCallerAddress() && a.GetRpcAddress() == b.GetRpcAddress() &&
		a.GetReady() == b.GetReady() && a.GetLeaving() == b.GetLeaving() && a.GetGone() == b.GetGone()
}

// entriesSince returns the entry hosts that changed after version known, or all of
// them if full is set.
func (p *presence) entriesSince(known uint64, full bool) []*rpc.EntryHost {
	var list []*rpc.EntryHost
	for _, e := range p.entries {
		if full || e.version > known {
			list = append(list, e.info)
		}
	}
	return list
}

// expireHosts marks the hosts without a heartbeat for hostGoneAfter as gone.
func (p *presence) expireHosts(now time.Time) {
	for _, e := range p.entries {
		if now.Sub(e.lastHeartbeat) <= hostGoneAfter || e.info.GetGone() {
			continue
		}
		gone := proto.Clone(e.info).(*rpc.EntryHost)
		gone.Gone = true
		p.version++
		e.version = p.version
		e.info = gone
	}
}

// digest returns a hash of a list, so that the list is sent only to hosts that
// don't have it yet.
func digest(list []string) uint64 {
	return xxhash.Sum64String(strings.Join(list, "\n"))
}

// beginTerm drops everything recorded in another epoch.
func (p *presence) beginTerm(epoch uint64) {
	if epoch != p.epoch {
		p.reset(epoch)
	}
}

// presentHosts returns the entry hosts with a heartbeat within hostGoneAfter,
// sorted by name.
func (p *presence) presentHosts(now time.Time) []*rpc.EntryHost {
	var list []*rpc.EntryHost
	for _, e := range p.entries {
		if now.Sub(e.lastHeartbeat) <= hostGoneAfter {
			list = append(list, e.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetHost() < list[j].GetHost() })
	return list
}

func (p *presence) applyList(now time.Time, epoch uint64, list api.HostList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginTerm(epoch)
	p.table.ApplyList(now, list)
	p.listRead = p.listRead || len(list.Hosts) > 0
	p.assign(now)
}

func (p *presence) evaluate(now time.Time, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginTerm(epoch)
	p.table.Evaluate(now)
	p.expireHosts(now)
	p.assign(now)
}

// assign recomputes which entry hosts probe which endpoints if the set of hosts or
// of endpoints has changed.
func (p *presence) assign(now time.Time) {
	var hosts []string
	for _, e := range p.presentHosts(now) {
		hosts = append(hosts, e.GetHost())
	}
	endpoints := p.table.Addresses()
	from := digest(hosts) ^ digest(endpoints)<<1
	if from == p.assignedFrom {
		return
	}
	p.assignedFrom = from
	p.assignments = membership.Assign(endpoints, hosts)
}

// pollList reads the platform's host list periodically while this replica holds
// the leader's lease.
func (s *Server) pollList(ctx context.Context) {
	s.whileLeading(ctx, listInterval, func() {
		list, err := s.readList(ctx)
		if err != nil {
			s.metrics.Counter("host_list_failures").Inc(1)
			return
		}
		s.presence.applyList(s.svc.Now(), s.node.Status().Term, list)
	})
}

func (s *Server) evaluatePresence(ctx context.Context) {
	s.whileLeading(ctx, evaluateInterval, func() {
		s.presence.evaluate(s.svc.Now(), s.node.Status().Term)
	})
}

func (s *Server) whileLeading(ctx context.Context, interval time.Duration, f func()) {
	timer.Loop(ctx, s.svc, interval, func(time.Time) {
		if s.node.HoldsLease() {
			f()
		}
	})
}

func (s *Server) readList(ctx context.Context) (api.HostList, error) {
	list := api.HostList{}
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.HostList, nil)
	if err != nil {
		return list, errors.Wrap(err, "request")
	}
	resp, err := s.clients.Platform.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "read host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Errorf("host list: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		logflags.Error(logflags.Membership, err, "cannot decode the platform's host list")
		return list, errors.Wrap(err, "decode host list")
	}
	return list, nil
}
