package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/standin/model"
)

// emit sends one event to the entry host. It fails once the host has
// disconnected.
type emit func(ev api.EngineEvent) error

// generate drives a request from the first stage: it passes each position's
// activation down the chain and takes the sampled token from the answer.
func (e *Engine) generate(ctx context.Context, g api.EngineGenerate, out emit) error {
	s := e.session(g.Request)
	if s == nil {
		return out(e.ownFault(api.FaultGone))
	}
	open := s.opened()
	prompt := model.Tokenize(g.Prompt)
	tokens := append(append([]int(nil), prompt...), g.Emitted...)
	passFrom := 0
	if len(g.Emitted) > 0 {
		passFrom = len(tokens) - 1
	}
	if reason := e.rebuildOwnCache(ctx, s, g.Attempt, open.Seed, tokens[:passFrom]); reason != "" {
		return out(e.ownFault(reason))
	}
	if g.RebuildOnly {
		return out(api.EngineEvent{
			End:       api.EndRebuilt,
			PromptLen: len(prompt),
		})
	}
	return e.decode(ctx, s, g, tokens, passFrom, len(prompt), out)
}

// rebuildOwnCache runs those of the tokens' positions that this stage lacks
// through its own layers.
func (e *Engine) rebuildOwnCache(ctx context.Context, s *session, attempt int, seed uint64, tokens []int) string {
	if len(tokens) == 0 {
		return ""
	}
	_, reason := e.runPositions(ctx, s, attempt, 0, embed(seed, 0, tokens), true)
	return reason
}

func (e *Engine) decode(ctx context.Context, s *session, g api.EngineGenerate, tokens []int, pos, promptLen int, out emit) error {
	open := s.opened()
	for index := len(g.Emitted); index < g.MaxTokens; index++ {
		token, fault := e.runAndForward(ctx, s, g.Attempt, pos, embed(open.Seed, pos, tokens[pos:]))
		if fault != nil {
			return out(api.EngineEvent{
				Index: index,
				Fault: fault,
			})
		}
		ev := api.EngineEvent{
			Index: index,
			Token: token,
			Text:  model.Word(token),
		}
		if index == len(g.Emitted) {
			ev.PromptLen = promptLen
		}
		if err := e.faults.emit(ev, out); err != nil {
			return err
		}
		pos = len(tokens)
		tokens = append(tokens, token)
	}
	return out(api.EngineEvent{
		Index: g.MaxTokens,
		End:   api.EndLength,
	})
}

func embed(seed uint64, pos int, tokens []int) []uint64 {
	x := make([]uint64, 0, len(tokens))
	for i, t := range tokens {
		x = append(x, model.Embed(seed, pos+i, t))
	}
	return x
}

func (e *Engine) ownFault(reason string) api.EngineEvent {
	return api.EngineEvent{
		Fault: &api.EngineFault{
			Address: e.cfg.Address,
			Reason:  reason,
		},
	}
}

// runAndForward runs positions on this stage and sends the outputs to the next
// one. On the last stage it samples a token instead.
func (e *Engine) runAndForward(ctx context.Context, s *session, attempt, pos int, inputs []uint64) (int, *api.EngineFault) {
	outputs, reason := e.runPositions(ctx, s, attempt, pos, inputs, false)
	if reason != "" {
		return 0, e.ownFault(reason).Fault
	}
	open := s.opened()
	if open.Next == "" {
		return model.Sample(outputs[len(outputs)-1]), nil
	}
	reply := &api.EngineStepped{}
	fault := e.callNext(ctx, open.Next, api.EngineStepPath, stepTimeout(open, len(outputs)), api.EngineStep{
		Request: s.request,
		Attempt: attempt,
		Pos:     pos,
		Acts:    outputs,
	}, reply)
	if fault != nil {
		return 0, fault
	}
	return reply.Token, reply.Fault
}

func stepTimeout(o api.EngineOpen, positions int) time.Duration {
	return time.Duration(o.NextTimeoutMS)*time.Millisecond + time.Duration(positions*o.NextPositionUS)*time.Microsecond
}

// step handles a call from the previous stage.
func (e *Engine) step(ctx context.Context, st api.EngineStep) api.EngineStepped {
	s := e.session(st.Request)
	if s == nil {
		return api.EngineStepped{
			Fault: e.ownFault(api.FaultGone).Fault,
		}
	}
	if st.Rebuild {
		_, reason := e.runPositions(ctx, s, st.Attempt, st.Pos, st.Acts, true)
		if reason != "" {
			return api.EngineStepped{
				Fault: e.ownFault(reason).Fault,
			}
		}
		return api.EngineStepped{}
	}
	token, fault := e.runAndForward(ctx, s, st.Attempt, st.Pos, st.Acts)
	return api.EngineStepped{
		Token: token,
		Fault: fault,
	}
}

// replay sends this stage's saved outputs to a replacement of the next stage.
func (e *Engine) replay(ctx context.Context, r api.EngineReplay) api.EngineReplayed {
	s := e.session(r.Request)
	if s == nil {
		return api.EngineReplayed{
			Fault: e.ownFault(api.FaultGone).Fault,
		}
	}
	outputs := s.saved(r.From)
	if len(outputs) == 0 {
		return api.EngineReplayed{}
	}
	reply := &api.EngineStepped{}
	fault := e.callNext(ctx, r.To, api.EngineStepPath, 0, api.EngineStep{
		Request: r.Request,
		Attempt: r.Attempt,
		Pos:     r.From,
		Acts:    outputs,
		Rebuild: true,
	}, reply)
	if fault == nil {
		fault = reply.Fault
	}
	return api.EngineReplayed{
		Sent:  len(outputs),
		Fault: fault,
	}
}

// callNext posts to another stage. The fault that it returns, if any, carries
// that stage's address.
func (e *Engine) callNext(ctx context.Context, address, path string, timeout time.Duration, in, out any) *api.EngineFault {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := error(errCutOut)
	if !e.faults.get().CutOut {
		err = post(ctx, e.cfg.Client, "http://"+address+path, in, out)
	}
	if err == nil {
		return nil
	}
	reason := api.FaultLost
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		reason = api.FaultUnreachable
	}
	return &api.EngineFault{
		Address: address,
		Reason:  reason,
	}
}

var errCutOut = errors.New("injected fault: calls to the next stage fail")

func post(ctx context.Context, client *http.Client, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}
