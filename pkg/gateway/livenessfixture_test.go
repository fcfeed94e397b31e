package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Dial implements EndpointClient: every endpoint is there.
func (b *fakeClient) Dial(context.Context, string) error { return nil }

// suite is the test that runs the specs; synctest needs it.
var suite *testing.T

// bubbleTimer is a timer service by the clock of the synctest bubble it is used in.
type bubbleTimer struct {
	timer.System
}

func (bubbleTimer) Now() time.Time { return time.Now() }

// dialFault is how an endpoint treats connections.
type dialFault int

const (
	accepts dialFault = iota
	refuses
	silent
	losesFirst // the first packet is lost
	failsLocally
)

const (
	simEventInterval = 40 * time.Millisecond
	// simPrefill is how long an endpoint that joins a path processes the tokens so far,
	// unless a spec sets another time.
	simPrefill = 40 * time.Millisecond
	// simStallReport is how long after its loss the first endpoint reports a stage.
	simStallReport = 250 * time.Millisecond
	// simReportAge is the age of the state that the first endpoint reports.
	simReportAge = 200 * time.Millisecond
)

// simEngines are simulated engines, as an EndpointClient. A stream gets an event at each
// interval while all stages of its path are there. It must be used in a synctest bubble.
type simEngines struct {
	prefill time.Duration

	mu       sync.Mutex
	faults   map[string]dialFault     // by address
	lostAt   map[string]time.Time     // by address; a lost stage holds up its streams
	slow     map[string]time.Duration // by address: the interval of events
	paths    map[string][]fleet.Stage // by request
	previous map[string][]fleet.Stage // by request: the path before the latest re-path
	movedAt  map[string]time.Time     // by request: the time of the latest re-path
	resume   map[string]time.Time     // by request: no event before then
	dials    map[string]int           // by address
	repaths  map[string]int           // by request
	sends    int
}

func newSimEngines() *simEngines {
	return &simEngines{
		prefill:  simPrefill,
		faults:   map[string]dialFault{},
		lostAt:   map[string]time.Time{},
		slow:     map[string]time.Duration{},
		paths:    map[string][]fleet.Stage{},
		previous: map[string][]fleet.Stage{},
		movedAt:  map[string]time.Time{},
		resume:   map[string]time.Time{},
		dials:    map[string]int{},
		repaths:  map[string]int{},
	}
}

// lose makes an endpoint hold up its streams and treat connections by f.
func (e *simEngines) lose(address string, f dialFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostAt[address] = time.Now()
	e.faults[address] = f
}

// stage returns the second stage of a request's path.
func (e *simEngines) stage(id string) fleet.Stage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paths[id][1]
}

// setSlow makes an endpoint slow but alive.
func (e *simEngines) setSlow(address string, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow[address] = interval
}

func (e *simEngines) Send(ctx context.Context, c *Call) (*Answer, error) {
	r, w := io.Pipe()
	e.mu.Lock()
	e.sends++
	e.paths[c.Request.ID] = c.Path
	e.mu.Unlock()
	context.AfterFunc(ctx, func() {
		_ = r.Close() // as a connection is closed when its request ends
	})
	background(func() { e.generate(ctx, c.Request.ID, w) })
	return &Answer{Status: http.StatusOK, Verified: true, Header: http.Header{}, Body: r}, nil
}

// generate writes the events of a request until ctx ends.
func (e *simEngines) generate(ctx context.Context, id string, w *io.PipeWriter) {
	last := time.Now()
	for n := 1; ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
		interval, ok := e.interval(id)
		if !ok || time.Since(last) < interval {
			continue
		}
		last = time.Now()
		if _, err := w.Write([]byte(events(n, n))); err != nil {
			return
		}
		n++
	}
}

// interval returns the time between a request's events; not ok says that none can come
// now.
func (e *simEngines) interval(id string) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := simEventInterval
	for _, p := range e.paths[id] {
		if !e.lostAt[p.Address].IsZero() {
			return 0, false
		}
		d = max(d, e.slow[p.Address])
	}
	return d, !time.Now().Before(e.resume[id])
}

func (e *simEngines) QueryStalls(context.Context, string) (StallReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := StallReport{
		Addresses: map[string]string{},
	}
	for id, path := range e.paths {
		if time.Since(e.movedAt[id]) < simReportAge {
			path = e.previous[id]
		}
		for _, p := range path {
			if at := e.lostAt[p.Address]; !at.IsZero() && time.Since(at) >= simStallReport {
				report.Addresses[id] = p.Address
			}
		}
	}
	return report, nil
}

func (e *simEngines) Repath(_ context.Context, _, id string, path []fleet.Stage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repaths[id]++
	for _, p := range path {
		if !e.lostAt[p.Address].IsZero() {
			return &RepathError{
				Address: p.Address,
			}
		}
	}
	e.previous[id] = e.paths[id]
	e.movedAt[id] = time.Now()
	e.paths[id] = path
	e.resume[id] = time.Now().Add(e.prefill)
	return nil
}

func (e *simEngines) Dial(ctx context.Context, address string) error {
	e.mu.Lock()
	e.dials[address]++
	n := e.dials[address]
	f := e.faults[address]
	e.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case f == refuses:
		return syscall.ECONNREFUSED
	case f == failsLocally:
		return syscall.EMFILE
	case f == silent, f == losesFirst && n == 1:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// simRun is the state of one simulation, for the script and for the assertions after it.
type simRun struct {
	engines *simEngines
	gateway *Gateway
	source  *fakeSource
	cancel  map[string]context.CancelFunc // by request; ends the stream
	outputs map[string]*fakeOutput
	// lost is the later stage of the first stream.
	lost  fleet.Stage
	pause time.Duration // the longest of all streams, between events or since the last
	dials map[string]int
	total int // connections opened
	moved int // streams with a repath
	sends int
	// silent is the number of checks with that result before the streams were ended.
	silent int64
	count  func(r checkResult) int64
}

// simulate runs a number of streams with a route's pause goal for at least 2 s on
// simulated engines, and script once they have run for 0.5 s. All streams take the same
// two engines; another two are there from the script on. It returns what happened until
// the end.
func simulate(streams int, goal time.Duration, script func(s *simRun)) *simRun {
	return simulateMixed(streams, 0, goal, script)
}

// simulateMixed is simulate, with further streams on a route without a pause goal.
func simulateMixed(streams, withoutGoal int, goal time.Duration, script func(s *simRun)) *simRun {
	s := &simRun{
		engines: newSimEngines(),
		cancel:  map[string]context.CancelFunc{},
		outputs: map[string]*fakeOutput{},
	}
	synctest.Test(suite, func(*testing.T) {
		s.run(streams, withoutGoal, goal, script)
	})
	return s
}

func (s *simRun) run(streams, withoutGoal int, goal time.Duration, script func(s *simRun)) {
	total := streams + withoutGoal
	cfg := configuration()
	for _, r := range cfg.Routes {
		if r.Kind == fleet.Stream {
			r.Name = "nogoal"
			r.Prefix = "/nogoal/"
			cfg.Routes = append(cfg.Routes, r)
		}
	}
	for i := range cfg.Routes {
		if cfg.Routes[i].Name != "nogoal" {
			cfg.Routes[i].GapGoal = goal
		}
	}
	s.source = &fakeSource{
		view:      View{Index: fleet.NewIndex(cfg), Fresh: true, Trusted: true},
		endpoints: map[string][]fleet.Endpoint{"llm": {engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4)}},
		leaving:   map[string]bool{},
		released:  map[string]bool{},
		slow:      map[string]float64{},
		changed:   make(chan struct{}),
		confirmed: make(chan struct{}),
	}
	set := metrics.New()
	s.count = func(r checkResult) int64 {
		return set.Counter("liveness_checks", metrics.Label{Name: "result", Value: string(r)}).Count()
	}
	s.gateway = New(Config{Domain: "a", Endpoints: s.engines, Peers: &fakePeers{}, Reachability: &fakeReach{}, Source: s.source,
		Budget: RetryBudget{Ratio: 0.2, Extra: extra, Window: time.Second}, Timer: bubbleTimer{}, Metrics: set})
	done := make(chan bool, total)
	watches := map[string]*pauseWatch{}
	for i := range total {
		path := "/stream/1"
		if i >= streams {
			path = "/nogoal/1"
		}
		id := "r" + strconv.Itoa(i+1)
		ctx, cancel := context.WithCancel(context.Background())
		s.cancel[id] = cancel
		out := &fakeOutput{}
		s.outputs[id] = out
		watches[id] = &pauseWatch{
			out: out,
		}
		req := &Request{
			ID:       id,
			Method:   http.MethodPost,
			Target:   path,
			Path:     path,
			Host:     "h",
			Key:      key,
			Header:   http.Header{},
			Received: time.Now(),
		}
		background(func() {
			s.gateway.Serve(ctx, req, out)
			done <- true
		})
	}
	stop := make(chan bool)
	observed := make(chan bool)
	background(func() {
		observePauses(watches, stop)
		close(observed)
	})
	time.Sleep(500 * time.Millisecond)
	s.lost = s.engines.stage("r1")
	s.source.change(func() {
		s.source.endpoints["llm"] = append(s.source.endpoints["llm"], engineEndpoint("z", 2, 4), engineEndpoint("w", 0, 2))
	})
	script(s)
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	<-observed
	for _, w := range watches {
		s.pause = max(s.pause, w.longest)
	}
	s.silent = s.count(checkSilent)
	for _, cancel := range s.cancel {
		cancel()
	}
	for range total {
		<-done
	}
	time.Sleep(time.Second) // checks end
	s.dials = maps.Clone(s.engines.dials)
	for _, n := range s.dials {
		s.total += n
	}
	s.moved = len(slices.Collect(maps.Keys(s.engines.repaths)))
	s.sends = s.engines.sends
}

// pauseWatch measures the longest pause between events at a caller.
type pauseWatch struct {
	out     *fakeOutput
	size    int
	since   time.Time
	longest time.Duration
}

// observePauses observes all watches once a millisecond until stop is closed.
func observePauses(watches map[string]*pauseWatch, stop <-chan bool) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
			for _, w := range watches {
				w.observe()
			}
		}
	}
}

func (w *pauseWatch) observe() {
	now := time.Now()
	if n := len(w.out.text()); n != w.size {
		w.size = n
		w.since = now
		return
	}
	if w.size > 0 {
		w.longest = max(w.longest, now.Sub(w.since))
	}
}
