package api

// Paths that callers use.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ModelsPath      = "/v1/models"
	EntriesPath     = "/v1/entries"
	ServicesPath    = "/v1/services/"
	HealthPath      = "/healthz"
	ReadyPath       = "/readyz"
)

// Headers of requests and responses beside the standard ones.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOnce           = "Larchwinch-Once"
	HeaderDomain         = "Larchwinch-Domain"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderPath lists, in responses, the endpoints on the request's path.
	HeaderPath = "Larchwinch-Path"
	// HeaderRepeated marks a response that was stored for an earlier request with
	// the same idempotency key and is replayed.
	HeaderRepeated = "Larchwinch-Repeated"
)

// Error is the body of every error response.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody says what failed and whether the request was run.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	// RetryAfterMS is after how many milliseconds to retry; 0 means not to retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Type and Code repeat Kind for clients that look for them.
	Type string `json:"type"`
	Code string `json:"code"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request. Unknown fields are
// accepted and ignored.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Seed                *int64        `json:"seed"`
}

// CompletionRequest is the body of a text completion request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Seed      *int64 `json:"seed"`
}

// Usage is a request's token counts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatChoice is the only choice of a chat completion or of a chunk of it.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the text that a chunk adds to the answer.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatCompletion is a non-streamed chat answer, or a chunk of a streamed one.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// TextChoice is the only choice of a text completion or of a chunk of it.
type TextChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is a non-streamed text completion, or a chunk of a streamed one.
type Completion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []TextChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// Model is one entry of ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the pipelines that a caller may request as a model.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// EntryAddress is one address that callers may use.
type EntryAddress struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Entries lists the addresses that callers should use, nearest first, and for how
// long the list is valid.
type Entries struct {
	Entries  []EntryAddress `json:"entries"`
	ValidFor int            `json:"valid_for_s"`
}

// Ready is the response body of ReadyPath.
type Ready struct {
	Ready    bool   `json:"ready"`
	Why      string `json:"why,omitempty"`
	Revision uint64 `json:"revision"`
	// UnconfirmedMS is the time in milliseconds since a majority of the control
	// replicas last confirmed the revision.
	UnconfirmedMS int64 `json:"unconfirmed_ms"`
}
