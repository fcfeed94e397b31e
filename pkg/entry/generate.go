package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

// generation is one chat or plain completion request.
type generation struct {
	account   bundle.Account
	pipeline  bundle.Pipeline
	model     bundle.Model
	format    format
	stream    bool
	id        string
	seed      uint64
	prompt    string
	maxTokens int
	skip      int // tokens that the caller received before it resumed the stream
	once      bool
	key       string
	body      []byte
	created   int64
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, a bundle.Account) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.fail(w, a.Name, bodyError(err))
		return
	}
	req := api.ChatRequest{}
	if err := json.Unmarshal(body, &req); err != nil {
		s.fail(w, a.Name, bodyError(err))
		return
	}
	if len(req.Messages) == 0 {
		s.fail(w, a.Name, failure.New(failure.BadRequest, "messages: missing; allowed: at least one"))
		return
	}
	maxTokens := req.MaxTokens
	if req.MaxCompletionTokens > 0 {
		maxTokens = req.MaxCompletionTokens
	}
	s.generate(w, r, a, generation{
		format:    chatFormat{},
		stream:    req.Stream,
		prompt:    chatPrompt(req.Messages),
		maxTokens: maxTokens,
		seed:      seedOf(req.Seed),
		body:      body,
	}, req.Model)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, a bundle.Account) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.fail(w, a.Name, bodyError(err))
		return
	}
	req := api.CompletionRequest{}
	if err := json.Unmarshal(body, &req); err != nil {
		s.fail(w, a.Name, bodyError(err))
		return
	}
	s.generate(w, r, a, generation{
		format:    textFormat{},
		stream:    req.Stream,
		prompt:    req.Prompt,
		maxTokens: req.MaxTokens,
		seed:      seedOf(req.Seed),
		body:      body,
	}, req.Model)
}

func chatPrompt(messages []api.ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// seedOf returns the caller's seed, or a random one if it gave none.
func seedOf(seed *int64) uint64 {
	if seed != nil {
		return uint64(*seed)
	}
	return randomUint64()
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// generate resolves the request's pipeline and limits, admits the request, runs
// it and writes the response.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, a bundle.Account, g generation, name string) {
	g.account = a
	g.id = s.newID()
	g.created = s.svc.Wall().Unix()
	if err := s.resolve(r, &g, name); err != nil {
		s.fail(w, a.Name, err)
		return
	}
	if err := s.accounts.Acquire(a, g.maxTokens); err != nil {
		s.fail(w, a.Name, err)
		return
	}
	began := s.svc.Now()
	out := newOutput(w, &g)
	result, err := s.admitAndRun(r.Context(), w, &g, out)
	s.accounts.Release(a, g.maxTokens-result.Tokens)
	s.recordMetrics(&g, began, out, result, err)
	if err == nil {
		out.finish(result)
		return
	}
	if out.streamStarted() {
		out.failStream(failure.From(err))
		return
	}
	s.fail(w, a.Name, err)
}

// resolve looks up the pipeline and its model, checks the request against the
// pipeline's limit of tokens, and applies the headers for at-most-once requests and
// resumed streams.
func (s *Server) resolve(r *http.Request, g *generation, name string) error {
	set := s.syncer.Set()
	pipeline, ok := set.Pipeline(name)
	if !ok {
		return failure.New(failure.UnknownModel, "no pipeline %q; allowed: %s", name, strings.Join(set.Pipelines(), ", "))
	}
	g.pipeline = pipeline
	g.model, _ = set.Model(pipeline.Model)
	if g.maxTokens < 0 {
		return failure.New(failure.BadRequest, "max_tokens: %d; allowed: 1 to %d", g.maxTokens, pipeline.MaxTokens)
	}
	if g.maxTokens == 0 || g.maxTokens > pipeline.MaxTokens {
		g.maxTokens = pipeline.MaxTokens
	}
	g.key = r.Header.Get(api.HeaderIdempotencyKey)
	g.once = pipeline.Once || r.Header.Get(api.HeaderOnce) == "true"
	if g.once && g.key == "" {
		return failure.New(failure.BadRequest, "the request must not be repeated, and so needs a header %s of its own", api.HeaderIdempotencyKey)
	}
	return resume(g, r.Header.Get(api.HeaderLastEventID))
}

// eventID returns the id of a stream event: the request's id, its seed and the
// token's index, which is all that another host needs to resume the stream.
func eventID(g *generation, index int) string {
	return g.id + "." + strconv.FormatUint(g.seed, 36) + "." + strconv.Itoa(index)
}

// resume sets the request's id, seed and start position from the id of the last
// event that the caller received.
func resume(g *generation, lastEventID string) error {
	if lastEventID == "" {
		return nil
	}
	if g.once {
		return failure.New(failure.ResumeInvalid, "a request that must not be repeated can't be resumed; send it again without %s for its result", api.HeaderLastEventID)
	}
	parts := strings.Split(lastEventID, ".")
	const fields = 3
	if len(parts) != fields {
		return failure.New(failure.ResumeInvalid, "%s %q isn't an event of this service", api.HeaderLastEventID, lastEventID)
	}
	seed, err := strconv.ParseUint(parts[1], 36, 64)
	index, indexErr := strconv.Atoi(parts[2])
	if err != nil || indexErr != nil || index < 0 || index >= g.maxTokens {
		return failure.New(failure.ResumeInvalid, "%s %q isn't an event of this request", api.HeaderLastEventID, lastEventID)
	}
	g.id = parts[0]
	g.seed = seed
	g.skip = index + 1
	return nil
}

// newID returns an id that is unique among the requests of all hosts.
func (s *Server) newID() string {
	return "lw-" + strconv.FormatUint(randomUint64(), 36) + "-" + strconv.FormatUint(s.nextID.Add(1), 36)
}

func (s *Server) admitAndRun(ctx context.Context, w http.ResponseWriter, g *generation, out *output) (chain.Result, error) {
	queued := s.svc.Now()
	if err := s.queue.Acquire(ctx, g.account, g.pipeline.Priority); err != nil {
		return chain.Result{}, err
	}
	admitted := s.svc.Now()
	defer func() {
		s.queue.Release(s.svc.Now().Sub(admitted))
	}()
	s.observe("queue_wait_us", g.account.Name, admitted.Sub(queued))
	if g.once {
		return s.runOnce(ctx, w, g, out)
	}
	return s.run(ctx, g, out)
}

func (s *Server) run(ctx context.Context, g *generation, out *output) (chain.Result, error) {
	return s.runner.Run(ctx, chain.Request{
		ID:        sessionRequestID(g, s.nextID.Add(1)),
		Model:     g.model,
		Prompt:    g.prompt,
		Seed:      g.seed,
		MaxTokens: g.maxTokens,
		Priority:  g.pipeline.Priority,
		Once:      g.once,
	}, func(t chain.Token) error {
		now := s.svc.Now()
		out.observe(now)
		if t.Index < g.skip {
			return nil
		}
		return out.writeToken(t)
	})
}

// sessionRequestID returns the id that engines get for the request. It differs
// from the caller's id because a resumed request must not reuse the sessions of
// the host that started it, which that host may still be cancelling.
func sessionRequestID(g *generation, n uint64) string {
	return g.id + "-" + strconv.FormatUint(n, 36)
}

// recordMetrics updates the client account's counters and, if the request
// succeeded, its token latencies.
func (s *Server) recordMetrics(g *generation, began time.Time, out *output, result chain.Result, err error) {
	name := g.account.Name
	s.metrics.Counter("account_requests", accountLabel(name)).Inc(1)
	s.metrics.Counter("account_tokens", accountLabel(name)).Inc(int64(result.Tokens))
	if err != nil || out.firstToken().IsZero() { // an answer from a recorded outcome has no tokens
		return
	}
	s.observe("account_first_token_us", name, out.firstToken().Sub(began))
	if result.Tokens > 1 {
		gap := out.lastToken().Sub(out.firstToken()) / time.Duration(result.Tokens-1)
		s.observe("account_between_tokens_us", name, gap)
	}
}
