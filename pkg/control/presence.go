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

// hostGoneAfter is after how long without a beat an entry host isn't named to
// callers any more.
const hostGoneAfter = 6 * time.Second

// presence is what the leader knows of entry hosts and endpoints. It isn't
// replicated: a new leader learns it anew, under a new epoch.
type presence struct {
	mu           sync.Mutex
	epoch        uint64
	listRead     bool // the platform's list was read in this epoch
	entries      map[string]*entryHost
	version      uint64 // of entries; it rises when one changes
	table        *membership.Table
	assignments  map[string][]string
	assignedFrom uint64 // digest of what watch was chosen of
}

// entryHost is one entry host. Its version is the table's when something that
// other entry hosts must learn last changed.
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

// recordHeartbeat notes a beat of an entry host.
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

// equalForPeers reports whether other entry hosts need not learn of a change.
// The revision in force is left out: it changes everywhere with each bundle.
func equalForPeers(a, b *rpc.EntryHost) bool {
	return a.GetHost() == b.GetHost() && a.GetDomain() == b.GetDomain() &&
		a.GetCallerAddress() == b.GetCallerAddress() && a.GetRpcAddress() == b.GetRpcAddress() &&
		a.GetReady() == b.GetReady() && a.GetLeaving() == b.GetLeaving() && a.GetGone() == b.GetGone()
}

// entriesSince returns the entry hosts that changed since a version.
func (p *presence) entriesSince(known uint64, full bool) []*rpc.EntryHost {
	var list []*rpc.EntryHost
	for _, e := range p.entries {
		if full || e.version > known {
			list = append(list, e.info)
		}
	}
	return list
}

// expireHosts marks the hosts that were not heard of for long as gone.
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

// digest names a list, so that it is sent only where it isn't known.
func digest(list []string) uint64 {
	return xxhash.Sum64String(strings.Join(list, "\n"))
}

// beginTerm forgets what was known in an earlier lead.
func (p *presence) beginTerm(epoch uint64) {
	if epoch != p.epoch {
		p.reset(epoch)
	}
}

// presentHosts returns the entry hosts that were heard of lately, sorted.
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
	p.table.List(now, list)
	p.listRead = p.listRead || len(list.Hosts) > 0
	p.assign(now)
}

func (p *presence) evaluate(now time.Time, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginTerm(epoch)
	p.table.Judge(now)
	p.expireHosts(now)
	p.assign(now)
}

// assign chooses the watchers anew if hosts or endpoints came or went.
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

// pollList reads the platform's list as long as this replica leads.
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
		logflags.Error(logflags.Membership, err, "the platform's host list can't be read")
		return list, errors.Wrap(err, "decode host list")
	}
	return list, nil
}
