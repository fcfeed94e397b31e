// Package api is the wire types of the HTTP interfaces: callers, operators,
// endpoints and the platform. It holds no behaviour; conversions to and from
// internal types are in convert.go of the packages that own those types.
package api

// Paths of a model engine.
const (
	EngineInfoPath     = "/engine/v1/info"
	EngineOpenPath     = "/engine/v1/open"
	EngineGeneratePath = "/engine/v1/generate"
	EngineStepPath     = "/engine/v1/step"
	EngineReplayPath   = "/engine/v1/replay"
	EngineCancelPath   = "/engine/v1/cancel"
	EngineKVPath       = "/engine/v1/kv"
	EngineOrderPath    = "/engine/v1/orders"
)

// EngineInfo is what a model engine says of itself.
type EngineInfo struct {
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	FirstLayer   int    `json:"first_layer"`
	EndLayer     int    `json:"end_layer"`
	Accelerator  string `json:"accelerator"`
	Incarnation  uint64 `json:"incarnation"`
	Slots        int    `json:"slots"` // sessions that may be open at once
	Batch        int    `json:"batch"` // sequences in one pass at most
	// One pass through one layer takes LayerUS + SequenceUS*sequences +
	// TokenUS*prefilled tokens, in microseconds.
	LayerUS    float64    `json:"layer_us"`
	SequenceUS float64    `json:"sequence_us"`
	TokenUS    float64    `json:"token_us"`
	Leaving    bool       `json:"leaving"`
	Load       EngineLoad `json:"load"`
}

// EngineLoad is a model engine's load report; it may lag.
type EngineLoad struct {
	Running  int `json:"running"`  // sequences in the present pass
	Waiting  int `json:"waiting"`  // sequences that wait for the next pass
	Sessions int `json:"sessions"` // requests that are open
}

// EngineOpen opens a request's session on one stage, or gives an open one a
// newer attempt. An attempt below the session's is refused with status 409.
type EngineOpen struct {
	Request      string `json:"request"`
	Attempt      int    `json:"attempt"`
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	Priority     int    `json:"priority"`
	Seed         uint64 `json:"seed"`
	Next         string `json:"next,omitempty"`
	// A call to the next stage may take NextTimeoutMS + NextPositionUS for
	// each position that it passes on.
	NextTimeoutMS  int `json:"next_timeout_ms"`
	NextPositionUS int `json:"next_position_us"`
}

// EngineOpened is the answer to EngineOpen.
type EngineOpened struct {
	// Have is how many positions the session holds.
	Have int        `json:"have"`
	Load EngineLoad `json:"load"`
	// Leaving says that the engine leaves on plan and wants no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// EngineGenerate asks the first stage to generate; the answer is a stream of
// EngineEvent, one JSON object a line. A stage that holds fewer positions than
// a resumed request has run rebuilds its own layers first, and passes on only
// from the last emitted token.
type EngineGenerate struct {
	Request   string `json:"request"`
	Attempt   int    `json:"attempt"`
	Prompt    string `json:"prompt"`
	Emitted   []int  `json:"emitted,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// RebuildOnly ends the stream once the stage holds every position before
	// the last emitted token.
	RebuildOnly bool `json:"rebuild_only,omitempty"`
}

// EngineEvent is one line of a generated stream: a token, an end or a fault.
type EngineEvent struct {
	Index     int          `json:"i"`           // of the token, from 0 for the first generated
	Token     int          `json:"t"`           // the token
	Text      string       `json:"s,omitempty"` // the token's text
	PromptLen int          `json:"p,omitempty"` // the prompt's tokens, with the stream's first event
	End       string       `json:"end,omitempty"`
	Fault     *EngineFault `json:"fault,omitempty"`
}

// The values of EngineEvent.End.
const (
	EndLength  = "length"
	EndStop    = "stop"
	EndRebuilt = "rebuilt"
)

// EngineFault says which stage failed, as seen by the one before it.
type EngineFault struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// The reasons of an EngineFault.
const (
	FaultUnreachable = "unreachable" // no connection: the step did not arrive
	FaultLost        = "lost"        // the answer did not come; fate unknown
	FaultGap         = "gap"         // the stage lacks earlier positions
	FaultStale       = "stale"       // a newer attempt took over
	FaultDiverged    = "diverged"    // the same position came with other input
	FaultGone        = "gone"        // the stage holds no such session
)

// EngineStep passes activations to the next stage.
type EngineStep struct {
	Request string   `json:"request"`
	Attempt int      `json:"attempt"`
	Pos     int      `json:"pos"` // position of the first activation
	Acts    []uint64 `json:"acts"`
	Rebuild bool     `json:"rebuild,omitempty"` // fill the KV cache only; pass nothing on
}

// EngineStepped is the answer to EngineStep: the token sampled after the last
// position, or the fault that kept it from being sampled.
type EngineStepped struct {
	Token int          `json:"token"`
	Fault *EngineFault `json:"fault,omitempty"`
}

// EngineReplay asks a stage to send the activations it saved to a replacement
// of the stage after it.
type EngineReplay struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	To      string `json:"to"`
	From    int    `json:"from"` // first position that the replacement lacks
}

// EngineReplayed is the answer to EngineReplay.
type EngineReplayed struct {
	Sent  int          `json:"sent"`
	Fault *EngineFault `json:"fault,omitempty"`
}

// EngineCancel ends a request's session on one stage.
type EngineCancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// EngineKV is a session's exported KV cache.
type EngineKV struct {
	Request    string   `json:"request"`
	Attempt    int      `json:"attempt"`
	FirstLayer int      `json:"first_layer"`
	EndLayer   int      `json:"end_layer"`
	Seed       uint64   `json:"seed"`
	Layers     []uint64 `json:"layers"`
	Inputs     []uint64 `json:"inputs"`
	Outputs    []uint64 `json:"outputs"`
}

// EngineOrder tells an engine what to load or be. Epoch and Sequence fence it:
// an engine that checks refuses an order older than the newest it saw.
type EngineOrder struct {
	Epoch        uint64 `json:"epoch"`
	Sequence     uint64 `json:"sequence"`
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	FirstLayer   int    `json:"first_layer"`
	EndLayer     int    `json:"end_layer"`
}

// The kinds of EngineOrder.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
)
