package entry

import (
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/chain"
)

// format builds the response bodies of one API path.
type format interface {
	// firstChunk starts a stream; it holds no token.
	firstChunk(g *generation) any
	// chunk holds one token of a stream.
	chunk(g *generation, text string) any
	// lastChunk ends a stream: the finish reason and the usage.
	lastChunk(g *generation, r chain.Result) any
	// answer is the body of a non-streamed answer.
	answer(g *generation, text string, r chain.Result) any
}

func usage(r chain.Result) *api.Usage {
	return &api.Usage{
		PromptTokens:     r.PromptTokens,
		CompletionTokens: r.Tokens,
		TotalTokens:      r.PromptTokens + r.Tokens,
	}
}

// chatFormat is the format of chat completions.
type chatFormat struct{}

const (
	chatChunkObject = "chat.completion.chunk"
	chatObject      = "chat.completion"
	textObject      = "text_completion"
	assistant       = "assistant"
)

func (chatFormat) body(g *generation, object string, c api.ChatChoice) api.ChatCompletion {
	return api.ChatCompletion{
		ID:      g.id,
		Object:  object,
		Created: g.created,
		Model:   g.pipeline.Name,
		Choices: []api.ChatChoice{c},
	}
}

func (f chatFormat) firstChunk(g *generation) any {
	return f.body(g, chatChunkObject, api.ChatChoice{
		Delta: &api.ChatDelta{
			Role: assistant,
		},
	})
}

func (f chatFormat) chunk(g *generation, text string) any {
	return f.body(g, chatChunkObject, api.ChatChoice{
		Delta: &api.ChatDelta{
			Content: text,
		},
	})
}

func (f chatFormat) lastChunk(g *generation, r chain.Result) any {
	b := f.body(g, chatChunkObject, api.ChatChoice{
		Delta:        &api.ChatDelta{},
		FinishReason: &r.FinishReason,
	})
	b.Usage = usage(r)
	return b
}

func (f chatFormat) answer(g *generation, text string, r chain.Result) any {
	b := f.body(g, chatObject, api.ChatChoice{
		Message: &api.ChatMessage{
			Role:    assistant,
			Content: text,
		},
		FinishReason: &r.FinishReason,
	})
	b.Usage = usage(r)
	return b
}

// textFormat is the format of plain completions.
type textFormat struct{}

func (textFormat) body(g *generation, c api.TextChoice) api.Completion {
	return api.Completion{
		ID:      g.id,
		Object:  textObject,
		Created: g.created,
		Model:   g.pipeline.Name,
		Choices: []api.TextChoice{c},
	}
}

func (f textFormat) firstChunk(g *generation) any {
	return f.body(g, api.TextChoice{})
}

func (f textFormat) chunk(g *generation, text string) any {
	return f.body(g, api.TextChoice{
		Text: text,
	})
}

func (f textFormat) lastChunk(g *generation, r chain.Result) any {
	b := f.body(g, api.TextChoice{
		FinishReason: &r.FinishReason,
	})
	b.Usage = usage(r)
	return b
}

func (f textFormat) answer(g *generation, text string, r chain.Result) any {
	b := f.body(g, api.TextChoice{
		Text:         text,
		FinishReason: &r.FinishReason,
	})
	b.Usage = usage(r)
	return b
}
