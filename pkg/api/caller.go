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

// Headers that callers use beside the usual ones.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOnce           = "Larchwinch-Once"
	HeaderDomain         = "Larchwinch-Domain"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderPath names, in answers, the endpoints that a request ran over.
	HeaderPath = "Larchwinch-Path"
	// HeaderRepeated marks an answer that is the first one's, kept.
	HeaderRepeated = "Larchwinch-Repeated"
)

// Error is the one shape of every error answer.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody says what failed, and whether the request was run.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	// RetryAfterMS is when to come back, in milliseconds; 0 means never.
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

// ChatRequest is the body of a chat completion. Fields that larchwinch has no
// use for are accepted and ignored, as other servers do.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Seed                *int64        `json:"seed"`
}

// CompletionRequest is the body of a plain completion.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Seed      *int64 `json:"seed"`
}

// Usage counts a request's tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatChoice is the one choice of a chat completion or of a chunk of it.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is what a chunk adds.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatCompletion is a whole chat answer, or a chunk of a streamed one.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// TextChoice is the one choice of a plain completion.
type TextChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is a whole plain completion, or a chunk of a streamed one.
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

// ModelList is the pipelines that a caller may name as a model.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// EntryAddress is one address that callers may use.
type EntryAddress struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Entries says which addresses to use, nearest first, and for how long.
type Entries struct {
	Entries  []EntryAddress `json:"entries"`
	ValidFor int            `json:"valid_for_s"`
}

// Ready is the answer of ReadyPath.
type Ready struct {
	Ready    bool   `json:"ready"`
	Why      string `json:"why,omitempty"`
	Revision uint64 `json:"revision"`
	// UnconfirmedMS is for how long no control majority has confirmed the
	// revision, in milliseconds.
	UnconfirmedMS int64 `json:"unconfirmed_ms"`
}
