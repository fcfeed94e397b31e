package control

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/membership"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// goneAfter is after how long without a beat an entry host isn't named to
// callers any more.
const goneAfter = 6 * time.Second

// presence is what the leader knows of entry hosts and endpoints. It isn't
// replicated: a new leader learns it anew, under a new epoch.
type presence struct {
	mu      sync.Mutex
	epoch   uint64
	listed  bool // the platform's list was read in this epoch
	entries map[string]*entryRow
	table   *membership.Table
	watch   map[string][]string
}

type entryRow struct {
	info *rpc.EntryHost
	at   time.Time
}

func newPresence() *presence {
	p := &presence{}
	p.reset(0)
	return p
}

func (p *presence) reset(epoch uint64) {
	p.epoch = epoch
	p.listed = false
	p.entries = map[string]*entryRow{}
	p.table = membership.New()
	p.watch = map[string][]string{}
}

func (p *presence) beat(now time.Time, epoch uint64, r *rpc.BeatRequest) *rpc.BeatReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enter(epoch)
	p.entries[r.GetHost().GetHost()] = &entryRow{
		info: r.GetHost(),
		at:   now,
	}
	p.table.Report(now, r.GetHost().GetHost(), r.GetReports())
	reply := &rpc.BeatReply{
		Entries: p.present(now),
		Watch:   p.watch[r.GetHost().GetHost()],
	}
	if !p.listed {
		return reply
	}
	reply.Epoch = p.epoch
	reply.Version = p.table.Version()
	known := r.GetVersion()
	if r.GetEpoch() != p.epoch {
		known = 0
		reply.Whole = true
	}
	reply.Endpoints = p.table.Since(known)
	return reply
}

// enter forgets what was known in an earlier lead.
func (p *presence) enter(epoch uint64) {
	if epoch != p.epoch {
		p.reset(epoch)
	}
}

// present returns the entry hosts that were heard of lately, sorted.
func (p *presence) present(now time.Time) []*rpc.EntryHost {
	var list []*rpc.EntryHost
	for _, e := range p.entries {
		if now.Sub(e.at) <= goneAfter {
			list = append(list, e.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetHost() < list[j].GetHost() })
	return list
}

func (p *presence) takeList(now time.Time, epoch uint64, list api.HostList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enter(epoch)
	p.table.List(now, list)
	p.listed = p.listed || len(list.Hosts) > 0
	p.assign(now)
}

func (p *presence) judge(now time.Time, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enter(epoch)
	p.table.Judge(now)
	p.assign(now)
}

func (p *presence) assign(now time.Time) {
	var hosts []string
	for _, e := range p.present(now) {
		hosts = append(hosts, e.GetHost())
	}
	p.watch = membership.Assign(p.table.Addresses(), hosts)
}

// pollList reads the platform's list as long as this replica leads.
func (s *Server) pollList(ctx context.Context) {
	s.whileLeading(ctx, listInterval, func() {
		list, err := s.readList(ctx)
		if err != nil {
			s.metrics.Counter("host_list_failures").Inc(1)
			return
		}
		s.presence.takeList(s.svc.Now(), s.node.Status().Term, list)
	})
}

func (s *Server) judge(ctx context.Context) {
	s.whileLeading(ctx, judgeInterval, func() {
		s.presence.judge(s.svc.Now(), s.node.Status().Term)
	})
}

func (s *Server) whileLeading(ctx context.Context, interval time.Duration, do func()) {
	ticks := s.svc.Every(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		if s.node.HoldsLease() {
			do()
		}
	}
}

func (s *Server) readList(ctx context.Context) (api.HostList, error) {
	list := api.HostList{}
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.HostList, nil)
	if err != nil {
		return list, errors.Wrap(err, "request")
	}
	resp, err := s.client.Do(req)
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
