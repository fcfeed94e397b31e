package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/opclient"
	"github.com/larchwinch/larchwinch/pkg/standin/model"
)

// request is a request to send.
type request struct {
	class  Class
	entry  string
	seed   int64
	prompt string
}

// outcome is the result of one request.
type outcome struct {
	class      Class
	failed     *failure.Error // refused or failed
	mismatch   string         // how the answer differs from the reference answer
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	path       string
}

// send sends a request and reads the complete answer.
func (r *Runner) send(ctx context.Context, a request) outcome {
	out := outcome{
		class: a.class,
	}
	began := time.Now()
	resp, err := r.post(ctx, a)
	if err != nil {
		out.failed = failure.Wrap(err, failure.Internal, "no answer")
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		out.failed = failure.From(opclient.ReadFailure(resp))
		return out
	}
	text, done := r.readStream(resp, began, &out)
	if out.failed != nil {
		return out
	}
	out.mismatch = r.checkAnswer(a, text, done)
	return out
}

func (r *Runner) post(ctx context.Context, a request) (*http.Response, error) {
	body, err := json.Marshal(api.ChatRequest{
		Model: a.class.Pipeline,
		Messages: []api.ChatMessage{{
			Role:    "user",
			Content: a.prompt,
		}},
		Stream:    true,
		MaxTokens: a.class.Tokens,
		Seed:      &a.seed,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.entry+api.ChatPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+a.class.Key)
	return r.client.Do(req)
}

const contentPrefix = `"delta":{"content":"`

// readStream reads a stream of tokens and records their times in out. It returns
// the text and whether the stream was complete.
func (r *Runner) readStream(resp *http.Response, began time.Time, out *outcome) (string, bool) {
	var text strings.Builder
	last := began
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "data: [DONE]":
			return text.String(), true
		case strings.HasPrefix(line, ": path "):
			out.path = strings.TrimPrefix(line, ": path ")
		case strings.HasPrefix(line, `data: {"error"`):
			body := api.Error{}
			_ = json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &body) // an empty kind is internal
			kind, _ := failure.KindNamed(body.Error.Kind)
			out.failed = failure.New(kind, "%s", body.Error.Message)
			return "", false
		case strings.Contains(line, contentPrefix):
			_, rest, _ := strings.Cut(line, contentPrefix)
			word, _, _ := strings.Cut(rest, `"`)
			text.WriteString(word)
			now := time.Now()
			r.report.countToken(now)
			last = out.recordToken(now, began, last)
		}
	}
	return text.String(), false
}

func (o *outcome) recordToken(now, began, last time.Time) time.Time {
	if o.tokens == 0 {
		o.firstToken = now.Sub(began)
	} else {
		o.gaps = append(o.gaps, now.Sub(last))
	}
	o.tokens++
	return now
}

// checkAnswer compares an answer with the reference answer. It returns what is
// wrong, or an empty string.
func (r *Runner) checkAnswer(a request, text string, done bool) string {
	if !done {
		return "incomplete answer: the stream ended early"
	}
	var want strings.Builder
	for _, t := range model.Reference(r.exp.Layers, uint64(a.seed), model.Tokenize("user: "+a.prompt+"\n"), a.class.Tokens) {
		want.WriteString(model.Word(t))
	}
	if text != want.String() {
		return "wrong answer: the text differs from the reference"
	}
	return ""
}
