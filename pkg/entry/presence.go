package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

const (
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = time.Second
	probeInterval     = time.Second
	probeTimeout      = 800 * time.Millisecond
	// probeEvery is the number of probe intervals between two probes of an
	// endpoint that is reachable and not suspected. Any other is probed at each.
	probeEvery = 5
)

// heartbeatLoop sends heartbeats to the control hosts at a fixed interval, and at
// once when the watcher has a change to report. The replies bring the state of
// the other entry hosts and of the endpoints.
func (s *Server) heartbeatLoop(ctx context.Context) {
	ticks := s.svc.Every(heartbeatInterval)
	defer ticks.Stop()
	for {
		s.heartbeat(ctx)
		s.queue.CapacityChanged()
		s.updateGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case <-s.watcher.wake:
		}
	}
}

// probeLoop probes the endpoints that the control hosts assigned to this host.
func (s *Server) probeLoop(ctx context.Context) {
	ticks := s.svc.Every(probeInterval)
	defer ticks.Stop()
	for turn := uint64(0); ; turn++ {
		s.watcher.probe(ctx, turn, s.suspected)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// suspected reports whether the control hosts list the endpoint as suspect: some
// watcher couldn't reach it.
func (s *Server) suspected(address string) bool {
	e := s.dir.Endpoint(address)
	return e != nil && e.Info().GetState() == rpc.EndpointState_ENDPOINT_SUSPECT
}

func (s *Server) updateGauges() {
	waiting, running := s.queue.Counts()
	s.metrics.Gauge("queue_waiting").Update(int64(waiting))
	s.metrics.Gauge("queue_running").Update(int64(running))
	s.metrics.Gauge("capacity").Update(int64(s.capacity()))
	_, age := s.syncer.Confirmed()
	s.metrics.Gauge("revision_unconfirmed_ms").Update(age.Milliseconds())
}

func (s *Server) heartbeat(ctx context.Context) {
	epoch, version, entries := s.dir.Known()
	ready, _ := s.ready()
	r := &rpc.BeatRequest{
		Host: &rpc.EntryHost{
			Host:          s.cfg.Host,
			Domain:        s.cfg.Domain,
			CallerAddress: s.cfg.CallerAddress,
			RpcAddress:    s.cfg.RPCAddress,
			Ready:         ready,
			Revision:      s.syncer.Set().Revision(),
			Leaving:       s.leaving.Load(),
		},
		Epoch:          epoch,
		Version:        version,
		EntriesVersion: entries,
		WatchDigest:    s.watcher.digest(),
		Reports:        s.watcher.takeReports(epoch),
	}
	for _, address := range s.cfg.Control {
		reply, err := s.sendHeartbeat(ctx, address, r)
		if err == nil {
			s.dir.Apply(reply)
			s.watcher.assign(reply.GetWatch(), reply.GetWatchDigest())
			return
		}
		s.metrics.Counter("beat_failures").Inc(1)
	}
	s.watcher.markUnreported()
}

func (s *Server) sendHeartbeat(ctx context.Context, address string, r *rpc.BeatRequest) (*rpc.BeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return rpc.NewPresenceProtobufClient("http://"+address, s.clients.RPC).Beat(ctx, r)
}

// watcher probes the endpoints that the control hosts assigned to this host.
type watcher struct {
	client *http.Client
	svc    timer.Service
	// wake makes heartbeatLoop send a heartbeat when an endpoint has changed.
	wake chan struct{}

	mu       sync.Mutex
	assigned []string
	seen     map[string]*probeState
	epoch    uint64 // of the leader that got the last reports
	// assignedDigest is the leader's digest of assigned.
	assignedDigest uint64
}

// probeState is the result of the latest probes of one endpoint.
type probeState struct {
	reachable     bool
	unsent        bool // probed since the last report
	info          *rpc.Endpoint
	etag          string // of info, as the endpoint sent it
	reportedEpoch uint64 // epoch in which info was last reported
}

func newWatcher(client *http.Client, svc timer.Service) *watcher {
	return &watcher{
		client: client,
		svc:    svc,
		wake:   make(chan struct{}, 1),
		seen:   map[string]*probeState{},
	}
}

// digest returns the digest of the assigned endpoints; 0 before the first
// assignment.
func (w *watcher) digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignedDigest
}

// assign replaces the list of endpoints to watch, unless digest shows that it is
// the present one.
func (w *watcher) assign(list []string, digest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if digest == w.assignedDigest {
		return
	}
	w.assigned = list
	w.assignedDigest = digest
	keep := map[string]*probeState{}
	for _, a := range list {
		if p := w.seen[a]; p != nil {
			keep[a] = p
		}
	}
	w.seen = keep
}

// probe probes the assigned endpoints that are due in this turn, and returns when
// all probes have ended.
func (w *watcher) probe(ctx context.Context, turn uint64, suspected func(string) bool) {
	w.mu.Lock()
	var due []string
	for _, a := range w.assigned {
		p := w.seen[a]
		if p == nil || !p.reachable || (turn+xxhash.Sum64String(a))%probeEvery == 0 || suspected(a) {
			due = append(due, a)
		}
	}
	w.mu.Unlock()
	g := group.New(ctx)
	defer g.Stop()
	for _, address := range due {
		g.Go(func(ctx context.Context) {
			w.probeEndpoint(ctx, address)
		})
	}
	g.Wait()
}

// record stores the result of a probe, and wakes the heartbeat loop if something
// changed. info is nil if the endpoint answered that nothing changed, or did not
// answer.
func (w *watcher) record(address string, info *rpc.Endpoint, tag string, reachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.seen[address]
	if p == nil {
		p = &probeState{}
		w.seen[address] = p
	}
	changed := p.reachable != reachable
	p.reachable = reachable
	p.unsent = true
	if info != nil && !proto.Equal(info, p.info) {
		p.info = info
		p.reportedEpoch = 0
		changed = true
	}
	if tag != "" {
		p.etag = tag
	}
	if !changed {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// takeReports returns the results of the probes since the last report, or all
// results if the epoch changed. An endpoint's info is included only if it was not
// yet reported in that epoch, or if the epoch is 0.
func (w *watcher) takeReports(epoch uint64) []*rpc.EndpointReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	newEpoch := epoch != w.epoch
	w.epoch = epoch
	list := make([]*rpc.EndpointReport, 0, len(w.seen))
	for address, p := range w.seen {
		if !p.unsent && !newEpoch {
			continue
		}
		p.unsent = false
		r := &rpc.EndpointReport{
			Address:   address,
			Reachable: p.reachable,
		}
		if p.reportedEpoch != epoch || epoch == 0 {
			r.Info = p.info
			p.reportedEpoch = epoch
		}
		list = append(list, r)
	}
	return list
}

// markUnreported makes the next report include everything that a lost report
// held.
func (w *watcher) markUnreported() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = 0
	for _, p := range w.seen {
		p.reportedEpoch = 0
	}
}

// probeEndpoint reads and records an endpoint's info: an engine's, or else a plain
// service's.
func (w *watcher) probeEndpoint(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	engine := api.EngineInfo{}
	tag, err := w.get(ctx, address, api.EngineInfoPath, &engine)
	if err == nil {
		w.record(address, engineInfo(engine), tag, true)
		return
	}
	service := api.ServiceInfo{}
	if _, err := w.get(ctx, address, api.ServiceInfoPath, &service); err != nil {
		w.record(address, nil, "", false)
		return
	}
	w.record(address, serviceToWire(service), "", true)
}

// engineInfo returns nil for an answer without content, which means that nothing
// changed.
func engineInfo(i api.EngineInfo) *rpc.Endpoint {
	if i.EndLayer == 0 {
		return nil
	}
	return engineToWire(i)
}

// get decodes the endpoint's answer at path into out. It leaves out unchanged if the
// answer still has the ETag that is recorded for the endpoint. It returns the new
// ETag, or "" if there is none or nothing changed.
func (w *watcher) get(ctx context.Context, address, path string, out any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", errors.Wrap(err, "request")
	}
	if tag := w.etag(address); tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	req.Header.Set("User-Agent", "")
	resp, err := w.client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return "", nil
	case http.StatusOK:
	default:
		return "", errors.Errorf("probe: status %d", resp.StatusCode)
	}
	if err := netutil.NewDecoder(resp.Body).Decode(out); err != nil {
		return "", errors.Wrap(err, "decode")
	}
	return resp.Header.Get("ETag"), nil
}

func (w *watcher) etag(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.seen[address]; p != nil {
		return p.etag
	}
	return ""
}
