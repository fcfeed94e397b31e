package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateway(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// fakeClient answers calls by a script and records them.
type fakeClient struct {
	mu      sync.Mutex
	calls   []*Call
	repaths [][]fleet.Stage
	answer  func(n int, c *Call) (*Answer, error)
	// answerCtx, if set, is used instead of answer, and may wait for ctx.
	answerCtx     func(ctx context.Context, n int) (*Answer, error)
	stalled       map[string]string
	stallErr      error
	rejectAddress string // repaths are rejected because of the endpoint at this address
	queries       int
	repathError   func() error // if set, returns the error of repaths
}

func (b *fakeClient) Send(ctx context.Context, c *Call) (*Answer, error) {
	b.mu.Lock()
	b.calls = append(b.calls, c)
	n := len(b.calls)
	b.mu.Unlock()
	a, err := b.script(ctx, n, c)
	if a != nil && a.Header == nil {
		a.Header = http.Header{}
	}
	if a != nil {
		body := a.Body
		context.AfterFunc(ctx, func() {
			_ = body.Close() // as a connection is closed when its request ends
		})
	}
	return a, err
}

func (b *fakeClient) script(ctx context.Context, n int, c *Call) (*Answer, error) {
	if b.answerCtx != nil {
		return b.answerCtx(ctx, n)
	}
	return b.answer(n, c)
}

func (b *fakeClient) QueryStalls(context.Context, string) (StallReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queries++
	return StallReport{Addresses: b.stalled}, b.stallErr
}

// setStallErr makes stall queries fail.
func (b *fakeClient) setStallErr(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stallErr = err
}

// failRepaths makes repaths fail with the error that f returns.
func (b *fakeClient) failRepaths(f func() error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repathError = f
}

// stallQueries returns the number of stall queries so far.
func (b *fakeClient) stallQueries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queries
}

// stall makes a request stall at an address.
func (b *fakeClient) stall(request, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalled = map[string]string{request: address}
}

func (b *fakeClient) Repath(_ context.Context, _, _ string, path []fleet.Stage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repaths = append(b.repaths, path)
	if b.repathError != nil {
		return b.repathError()
	}
	for _, p := range path {
		if p.Address == b.rejectAddress {
			return &RepathError{
				Address: p.Address,
			}
		}
	}
	return nil
}

func (b *fakeClient) sent() []*Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Call(nil), b.calls...)
}

func (b *fakeClient) repathCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.repaths)
}

// fakeOutput records an answer.
type fakeOutput struct {
	mu      sync.Mutex
	refusal *failure.Error
	status  int
	body    strings.Builder
	aborted bool
	answers int
}

func (o *fakeOutput) Refuse(e *failure.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusal = e
	o.answers++
}

func (o *fakeOutput) WriteAnswer(status int, _ http.Header, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status = status
	o.body.Write(body)
	o.answers++
}

func (o *fakeOutput) BeginStream(status int, _ http.Header) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status = status
	o.answers++
}

func (o *fakeOutput) Event(data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.status == 0 {
		return errors.New("an event before the head")
	}
	o.body.Write(data)
	return nil
}

func (o *fakeOutput) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.aborted = true
}

func (o *fakeOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.body.String()
}

const (
	key   = "k1"
	extra = 100 // retries that the budget allows in a window
)

func configuration() *fleet.Configuration {
	route := func(name string, kind fleet.RouteKind, service string) fleet.Route {
		return fleet.Route{
			Name:        name,
			Host:        "h",
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     10 * time.Second,
			Goal:        500 * time.Millisecond,
			MaxAttempts: 2,
			Resumable:   kind == fleet.Stream,
			Split:       []fleet.Share{{Service: service, Weight: 1}},
		}
	}
	once := route("unsafe", fleet.Unsafe, "app")
	once.MaxAttempts = 1
	return &fleet.Configuration{
		Version:  1,
		Routes:   []fleet.Route{once, route("safe", fleet.Safe, "app"), route("stream", fleet.Stream, "llm")},
		Accounts: []fleet.Account{{Name: "acc", Keys: []string{key}}},
		Services: []fleet.Service{
			{Name: "app"},
			{Name: "llm", Engine: &fleet.Engine{
				Layers:        4,
				LayerMB:       1,
				CacheBytes:    1,
				StepTime:      time.Millisecond,
				ReadPerSecond: 1e6,
				Kinds:         map[string]fleet.Kind{"k": {MB: 100, Pace: 1, ReadFactor: 1}},
			}},
		},
	}
}

func engineEndpoint(id string, from, to int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:      id,
		Service: "llm",
		Address: id + ":1",
		Domain:  "a",
		Kind:    "k",
		Slots:   10,
		Layers:  fleet.Range{From: from, To: to},
	}
}

func appEndpoint(id string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "app", Address: id + ":1", Domain: "a", Slots: 4}
}

type fixture struct {
	client  *fakeClient
	peers   *fakePeers
	reach   *fakeReach
	source  *fakeSource
	clock   *timer.Manual
	gateway *Gateway
}

// withGateway runs f on a gateway with a scripted endpoint client and a manual clock.
func withGateway(f func(b *fixture)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	source := &fakeSource{
		view: View{Index: fleet.NewIndex(configuration()), Fresh: true, Trusted: true},
		endpoints: map[string][]fleet.Endpoint{
			"app": {appEndpoint("p"), appEndpoint("q"), appEndpoint("s")},
			"llm": {engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4), engineEndpoint("w", 0, 2)},
		},
		leaving:   map[string]bool{},
		released:  map[string]bool{},
		slow:      map[string]float64{},
		changed:   make(chan struct{}),
		confirmed: make(chan struct{}),
	}
	client := &fakeClient{}
	peers := &fakePeers{}
	reach := &fakeReach{unreachable: map[string]bool{}}
	budget := RetryBudget{Ratio: 0.2, Extra: extra, Window: 10 * time.Second}
	b := &fixture{
		client:  client,
		source:  source,
		clock:   clock,
		peers:   peers,
		reach:   reach,
		gateway: New(Config{Domain: "a", Endpoints: client, Peers: peers, Reachability: reach, Source: source, Budget: budget, Timer: clock, Metrics: metrics.New()}),
	}
	clock.Advance(10 * time.Second) // refills the retry budget
	f(b)
}

func (b *fixture) request(route string) *Request {
	return &Request{
		ID:       "r1",
		Method:   http.MethodPost,
		Target:   "/" + route + "/1",
		Path:     "/" + route + "/1",
		Host:     "h",
		Key:      key,
		Header:   http.Header{},
		Received: b.clock.Now(),
	}
}

func (b *fixture) serve(route string) *fakeOutput {
	out := &fakeOutput{}
	req := b.request(route)
	b.gateway.Serve(context.Background(), req, out)
	return out
}

// serveFor serves one request whose caller waits at most wait.
func (b *fixture) serveFor(route string, wait time.Duration) *fakeOutput {
	out := &fakeOutput{}
	req := b.request(route)
	req.Timeout = wait
	b.gateway.Serve(context.Background(), req, out)
	return out
}

// stream starts a stream that ends with ctx at the latest; done receives a value at its
// end.
func (b *fixture) stream(ctx context.Context) (out *fakeOutput, done chan bool) {
	out = &fakeOutput{}
	done = make(chan bool, 1)
	req := b.request("stream")
	background(func() {
		b.gateway.Serve(ctx, req, out)
		done <- true
	})
	return out, done
}

// streamInFlight starts a stream whose endpoints send the first event and no more, and
// returns once the caller has that event. The function returned ends the stream.
func (b *fixture) streamInFlight() (end func()) {
	b.client.answer = func(int, *Call) (*Answer, error) {
		return &Answer{Status: 200, Verified: true, Body: hangingBody(events(1, 1))}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	out, done := b.stream(ctx)
	Eventually(out.text, "5s").Should(Equal(events(1, 1)))
	return func() {
		cancel()
		Eventually(done, "5s").Should(Receive())
	}
}

// advance lets time pass in small steps, so that each goroutine sees every timer in turn.
func (b *fixture) advance(d time.Duration) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); time.Sleep(time.Millisecond) {
		b.clock.Advance(stallQueryRetry)
	}
}

func completeAnswer(status int, body string) *Answer {
	return &Answer{Status: status, Verified: true, Body: io.NopCloser(strings.NewReader(body))}
}

func refusedBy(fault string) *Answer {
	return &Answer{Status: 503, NotRun: true, FaultAddress: fault, Verified: true, Body: io.NopCloser(strings.NewReader(""))}
}

func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		s.WriteString("id: " + strconv.Itoa(i) + "\ndata: t\n\n")
	}
	return s.String()
}

// brokenBody returns the text of Reader and then an error, like a connection that is
// reset.
type brokenBody struct {
	io.Reader
}

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.New("connection reset")
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

// background runs f in a goroutine, which the test must bring to its end.
func background(f func()) {
	group.New(context.Background()).Go(func(context.Context) {
		f()
	})
}
