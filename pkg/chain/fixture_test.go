package chain_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/route"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/standin/engine"
	"github.com/larchwinch/larchwinch/pkg/standin/model"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chain")
}

const (
	layers    = 6
	maxTokens = 24
	seed      = 99
	prompt    = "Kirjuta koju et laps sõi hästi"
)

var testModel = bundle.Model{
	Name:    "koit",
	Version: "1",
	Layers:  layers,
}

// fakeHost is an engine on a loopback address that can be killed.
type fakeHost struct {
	engine  *engine.Engine
	server  *http.Server
	address string
	first   int
	end     int
}

func (h *fakeHost) kill() {
	_ = h.server.Close() // open connections are to break
}

// cluster is a set of engines and a runner on them.
type cluster struct {
	hosts  []*fakeHost
	dir    *directory.Directory
	runner *chain.Runner
	group  *group.Group
}

// newCluster starts the given number of engines for each of three layer ranges.
func newCluster(copies int) (*cluster, error) {
	g := group.New(context.Background())
	c := &cluster{
		dir:   directory.New(timer.NewSystem()),
		group: g,
	}
	const span = layers / 3
	reply := &rpc.BeatReply{
		Epoch:   1,
		Version: 1,
	}
	for first := 0; first < layers; first += span {
		for range copies {
			h, err := startHost(g, first, first+span)
			if err != nil {
				return nil, err
			}
			c.hosts = append(c.hosts, h)
			reply.Endpoints = append(reply.Endpoints, h.endpoint(rpc.EndpointState_ENDPOINT_LIVE))
		}
	}
	c.dir.Apply(reply)
	c.runner = chain.New(chain.Config{
		Client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		Directory: c.dir,
		Router:    route.New(route.ExpectedFinish, "a", func() int { return 1 }, rand.New(rand.NewPCG(1, 1))),
		Timer:     timer.NewSystem(),
		Metrics:   metrics.New(),
		Group:     g,
	})
	return c, nil
}

func (h *fakeHost) endpoint(state rpc.EndpointState) *rpc.Endpoint {
	info := h.engine.Info()
	return &rpc.Endpoint{
		Address:      h.address,
		Domain:       "a",
		Model:        info.Model,
		ModelVersion: info.ModelVersion,
		FirstLayer:   uint32(info.FirstLayer),
		EndLayer:     uint32(info.EndLayer),
		LayerUs:      float32(info.LayerUS),
		SequenceUs:   float32(info.SequenceUS),
		TokenUs:      float32(info.TokenUS),
		Slots:        uint32(info.Slots),
		State:        state,
	}
}

func startHost(g *group.Group, first, end int) (*fakeHost, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &fakeHost{
		address: l.Addr().String(),
		first:   first,
		end:     end,
	}
	h.engine = engine.New(engine.Config{
		Address:      h.address,
		Model:        testModel.Name,
		ModelVersion: testModel.Version,
		FirstLayer:   first,
		EndLayer:     end,
		Accelerator:  "large",
		Timer:        timer.NewSystem(),
		Client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		Die:          h.kill,
	}, g)
	h.server = &http.Server{
		Handler: h.engine.Handler(),
	}
	g.Go(func(context.Context) {
		_ = h.server.Serve(l) // returns after Close
	})
	return h, nil
}

// abortGenerate makes the first hosts accept a generate request and then close
// the connection, so that the caller cannot tell whether it was started. It
// returns the count of such requests.
func (c *cluster) abortGenerate(hosts int) *atomic.Int64 {
	generateCalls := &atomic.Int64{}
	for _, h := range c.hosts[:hosts] {
		next := h.server.Handler
		h.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == api.EngineGeneratePath {
				generateCalls.Add(1)
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	}
	return generateCalls
}

func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.kill()
	}
	c.group.Stop()
}

// servingHost returns the host that serves stage s now: the one with that layer
// range that has the most sessions.
func (c *cluster) servingHost(s int) *fakeHost {
	const span = layers / 3
	var best *fakeHost
	most := -1
	for _, h := range c.hosts {
		if h.first != s*span {
			continue
		}
		if n := h.engine.Info().Load.Sessions; n > most {
			most = n
			best = h
		}
	}
	return best
}

// answer is what the caller of a request received.
type answer struct {
	text   strings.Builder
	tokens int
	result chain.Result
	err    error
}

// generate runs a request. It calls before at the start and after each token,
// with the number of tokens received so far.
func (c *cluster) generate(id string, before func(n int)) *answer {
	a := &answer{}
	before(0)
	a.result, a.err = c.runner.Run(context.Background(), chain.Request{
		ID:        id,
		Model:     testModel,
		Prompt:    prompt,
		Seed:      seed,
		MaxTokens: maxTokens,
	}, func(t chain.Token) error {
		if t.Index != a.tokens {
			return errors.Errorf("token %d came after %d tokens", t.Index, a.tokens)
		}
		a.tokens++
		a.text.WriteString(t.Text)
		before(a.tokens)
		return nil
	})
	return a
}

// reference returns the only correct answer.
func reference() string {
	var b strings.Builder
	for _, t := range model.Reference(layers, seed, model.Tokenize(prompt), maxTokens) {
		b.WriteString(model.Word(t))
	}
	return b.String()
}

// verify checks an answer against the reference, and the engines' ledgers for
// positions that were run more than once.
func (c *cluster) verify(id string, a *answer) error {
	if a.err != nil {
		return errors.Wrap(a.err, "the request failed")
	}
	if got := a.text.String(); got != reference() {
		return errors.Errorf("the answer differs: got %q, want %q", got, reference())
	}
	for _, h := range c.hosts {
		e, ok := h.engine.Ledger().Get(id)
		if !ok {
			continue
		}
		for pos, n := range e.Runs {
			if n > 1 {
				return errors.Errorf("layers [%d,%d) at %s ran position %d %d times", h.first, h.end, h.address, pos, n)
			}
		}
	}
	return nil
}
