package opcmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/opclient"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/spf13/cobra"
)

// askRequest is the request that the ask command sends.
type askRequest struct {
	entries     []string
	pipeline    string
	tokens      int
	seed        int64
	key         string
	lastEventID string
	text        string
}

const maxAskAttempts = 5

func (o *options) askCommand() *cobra.Command {
	q := askRequest{}
	cmd := &cobra.Command{
		Use:   "ask TEXT",
		Short: "Send a caller's request and print the answer as it arrives",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q.text = args[0]
			if len(q.entries) == 0 {
				return cmdutil.Usage(errors.New("no entry host: give --entry"))
			}
			return o.ask(cmd.Context(), &q)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&q.entries, "entry", nil, "caller addresses of entry hosts (required)")
	f.StringVar(&q.pipeline, "pipeline", "", "pipeline to ask (required)")
	f.IntVar(&q.tokens, "max-tokens", 0, "maximum number of tokens; 0 for the pipeline's own limit")
	f.Int64Var(&q.seed, "seed", 0, "seed; 0 draws one")
	f.StringVar(&q.key, "idempotency-key", "", "key of a request that must not be repeated")
	_ = cmd.MarkFlagRequired("pipeline") // the flag exists
	return cmd
}

// ask tries the entry hosts one after the other. A stream that breaks is resumed
// at the next one, after the last event that was received.
func (o *options) ask(ctx context.Context, q *askRequest) error {
	var last error
	for i := range maxAskAttempts * len(q.entries) {
		done, err := o.askOne(ctx, q.entries[i%len(q.entries)], q)
		if done || err == nil {
			return withExitCode(err)
		}
		last = err
		wait := failure.From(err).RetryAfter()
		if wait == 0 {
			wait = time.Second
		}
		if err := timer.Sleep(ctx, timer.NewSystem(), min(wait, time.Second)); err != nil {
			return err
		}
	}
	return withExitCode(last)
}

// askOne sends the request to one entry host; done is true if it must not or need
// not be retried.
func (o *options) askOne(ctx context.Context, entry string, q *askRequest) (done bool, err error) {
	resp, err := sendAskRequest(ctx, entry, o.key, q)
	if err != nil {
		return q.key != "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		err := opclient.ReadFailure(resp)
		return failure.From(err).RetryAfter() == 0, err
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return true, o.printAnswer(resp)
	}
	return o.printStream(resp, q)
}

func sendAskRequest(ctx context.Context, entry, key string, q *askRequest) (*http.Response, error) {
	body := api.ChatRequest{
		Model: q.pipeline,
		Messages: []api.ChatMessage{{
			Role:    "user",
			Content: q.text,
		}},
		Stream:    true,
		MaxTokens: q.tokens,
	}
	if q.seed != 0 {
		body.Seed = &q.seed
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+api.ChatPath, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if q.key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, q.key)
	}
	if q.lastEventID != "" {
		req.Header.Set(api.HeaderLastEventID, q.lastEventID)
	}
	return http.DefaultClient.Do(req)
}

func (o *options) printAnswer(resp *http.Response) error {
	out := api.ChatCompletion{}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	for _, c := range out.Choices {
		if c.Message != nil {
			fmt.Fprintln(o.out, c.Message.Content)
		}
	}
	return nil
}

// printStream prints tokens as they arrive, and records the last event's ID in q.
func (o *options) printStream(resp *http.Response, q *askRequest) (bool, error) {
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "data: [DONE]":
			fmt.Fprintln(o.out)
			return true, nil
		case strings.HasPrefix(line, "id: "):
			q.lastEventID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, ": path "):
			fmt.Fprintf(o.out, "\n[path: %s]", strings.ReplaceAll(strings.TrimPrefix(line, ": path "), ",", " -> "))
		case strings.HasPrefix(line, "data: "):
			if err := o.printChunk(strings.TrimPrefix(line, "data: ")); err != nil {
				return failure.From(err).RetryAfter() == 0, err
			}
		}
	}
	return q.key != "", errors.New("the stream ended before the answer was complete")
}

func (o *options) printChunk(data string) error {
	failed := api.Error{}
	if err := json.Unmarshal([]byte(data), &failed); err == nil && failed.Error.Kind != "" {
		kind, _ := failure.KindNamed(failed.Error.Kind)
		return failure.New(kind, "%s", failed.Error.Message).WithRan(failure.Ran(failed.Error.Ran))
	}
	c := api.ChatCompletion{}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	for _, choice := range c.Choices {
		if choice.Delta != nil {
			fmt.Fprint(o.out, choice.Delta.Content)
		}
	}
	return nil
}
