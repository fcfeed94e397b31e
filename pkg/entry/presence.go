package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

const (
	beatInterval = time.Second
	beatTimeout  = time.Second
	probeTimeout = 800 * time.Millisecond
)

// beatLoop tells the control hosts that this one is there, and takes what
// they know of the others and of the endpoints.
func (s *Server) beatLoop(ctx context.Context) {
	ticks := s.svc.Every(beatInterval)
	defer ticks.Stop()
	for {
		s.watcher.probe(ctx)
		s.beat(ctx)
		s.gate.Wake()
		s.countState()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

func (s *Server) countState() {
	waiting, running := s.gate.Waiting()
	s.metrics.Gauge("queue_waiting").Update(int64(waiting))
	s.metrics.Gauge("queue_running").Update(int64(running))
	s.metrics.Gauge("capacity").Update(int64(s.capacity()))
	_, age := s.keeper.Confirmed()
	s.metrics.Gauge("revision_unconfirmed_ms").Update(age.Milliseconds())
}

func (s *Server) beat(ctx context.Context) {
	epoch, version := s.dir.Known()
	ready, _ := s.ready()
	r := &rpc.BeatRequest{
		Host: &rpc.EntryHost{
			Host:          s.cfg.Host,
			Domain:        s.cfg.Domain,
			CallerAddress: s.cfg.CallerAddress,
			RpcAddress:    s.cfg.RPCAddress,
			Ready:         ready,
			Revision:      s.keeper.Set().Revision(),
			Leaving:       s.leaving.Load(),
		},
		Epoch:   epoch,
		Version: version,
		Reports: s.watcher.reports(epoch),
	}
	for _, address := range s.cfg.Control {
		reply, err := s.beatOnce(ctx, address, r)
		if err == nil {
			s.dir.Take(reply)
			s.watcher.assign(reply.GetWatch(), reply.GetEpoch())
			return
		}
		s.metrics.Counter("beat_failures").Inc(1)
	}
}

func (s *Server) beatOnce(ctx context.Context, address string, r *rpc.BeatRequest) (*rpc.BeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return rpc.NewPresenceProtobufClient("http://"+address, s.client).Beat(ctx, r)
}

// watcher probes the endpoints that the control hosts assigned to this host.
type watcher struct {
	client *http.Client
	svc    timer.Service

	mu    sync.Mutex
	epoch uint64 // of the leader that holds what was reported in full
	list  []string
	seen  map[string]*probed
}

type probed struct {
	reachable bool
	info      *rpc.Endpoint
	told      uint64 // epoch in which info was reported
}

func newWatcher(client *http.Client, svc timer.Service) *watcher {
	return &watcher{
		client: client,
		svc:    svc,
		seen:   map[string]*probed{},
	}
}

func (w *watcher) assign(list []string, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = list
	w.epoch = epoch
	keep := map[string]*probed{}
	for _, a := range list {
		if p := w.seen[a]; p != nil {
			keep[a] = p
		}
	}
	w.seen = keep
}

// probe asks every assigned endpoint for what it is, all at once.
func (w *watcher) probe(ctx context.Context) {
	w.mu.Lock()
	list := w.list
	w.mu.Unlock()
	g := group.New(ctx)
	defer g.Stop()
	for _, address := range list {
		g.Go(func(ctx context.Context) {
			info, err := w.ask(ctx, address)
			w.note(address, info, err == nil)
		})
	}
	g.Wait()
}

func (w *watcher) note(address string, info *rpc.Endpoint, reachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.seen[address]
	if p == nil {
		p = &probed{}
		w.seen[address] = p
	}
	p.reachable = reachable
	if info != nil && !proto.Equal(info, p.info) {
		p.info = info
		p.told = 0
	}
}

// reports returns what was seen; what an endpoint said of itself only if the
// leader of that epoch wasn't told yet.
func (w *watcher) reports(epoch uint64) []*rpc.EndpointReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*rpc.EndpointReport, 0, len(w.seen))
	for address, p := range w.seen {
		r := &rpc.EndpointReport{
			Address:   address,
			Reachable: p.reachable,
		}
		if p.told != epoch || epoch == 0 {
			r.Info = p.info
			p.told = epoch
		}
		list = append(list, r)
	}
	return list
}

// ask reads an endpoint's info: an engine's, or else a plain service's.
func (w *watcher) ask(ctx context.Context, address string) (*rpc.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	engine := api.EngineInfo{}
	err := w.get(ctx, address, api.EngineInfoPath, &engine)
	if err == nil && engine.EndLayer > 0 {
		return engineToWire(engine), nil
	}
	service := api.ServiceInfo{}
	if err := w.get(ctx, address, api.ServiceInfoPath, &service); err != nil {
		return nil, err
	}
	return serviceToWire(service), nil
}

func (w *watcher) get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}
