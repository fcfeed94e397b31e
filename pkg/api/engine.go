// Package api holds the wire types of the HTTP APIs for callers, operators,
// endpoints and the platform. It has no behaviour; conversions to and from
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

// EngineInfo is what a model engine reports of itself.
type EngineInfo struct {
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	FirstLayer   int    `json:"first_layer"`
	EndLayer     int    `json:"end_layer"`
	Accelerator  string `json:"accelerator"`
	Incarnation  uint64 `json:"incarnation"`
	Slots        int    `json:"slots"` // sessions that may be open at once
	Batch        int    `json:"batch"` // most sequences in one pass
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
	Running  int `json:"running"`  // sequences in the current pass
	Waiting  int `json:"waiting"`  // sequences waiting for the next pass
	Sessions int `json:"sessions"` // open sessions
}

// EngineOpen opens a request's session on one stage, or raises the attempt of an
// open one. An attempt lower than the session's is refused with status 409.
type EngineOpen struct {
	Request      string `json:"request"`
	Attempt      int    `json:"attempt"`
	Model        string `json:"model"`
	ModelVersion string `json:"model_version"`
	Priority     int    `json:"priority"`
	Seed         uint64 `json:"seed"`
	Next         string `json:"next,omitempty"`
	// A call to the next stage times out after NextTimeoutMS plus NextPositionUS
	// for each position that it sends.
	NextTimeoutMS  int `json:"next_timeout_ms"`
	NextPositionUS int `json:"next_position_us"`
}

// EngineOpened is the answer to EngineOpen.
type EngineOpened struct {
	// Have is the number of positions that the session holds.
	Have int        `json:"have"`
	Load EngineLoad `json:"load"`
	// Leaving says that the engine is leaving as planned and takes no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// EngineGenerate tells the first stage to generate; the response is a stream of
// EngineEvent, one JSON object per line. If the stage holds fewer positions than
// a resumed request has run, it first rebuilds the KV cache of its own layers; it
// sends activations to the next stage only from the last emitted token on.
type EngineGenerate struct {
	Request   string `json:"request"`
	Attempt   int    `json:"attempt"`
	Prompt    string `json:"prompt"`
	Emitted   []int  `json:"emitted,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// RebuildOnly ends the stream as soon as the stage holds every position
	// before the last emitted token.
	RebuildOnly bool `json:"rebuild_only,omitempty"`
}

// EngineEvent is one line of a generated stream: a token, the end or a fault.
type EngineEvent struct {
	Index     int          `json:"i"`           // of the token, from 0 for the first generated
	Token     int          `json:"t"`           // the token
	Text      string       `json:"s,omitempty"` // the token's text
	PromptLen int          `json:"p,omitempty"` // number of the prompt's tokens, in the stream's first event
	End       string       `json:"end,omitempty"`
	Fault     *EngineFault `json:"fault,omitempty"`
}

// The values of EngineEvent.End.
const (
	EndLength  = "length"
	EndStop    = "stop"
	EndRebuilt = "rebuilt"
)

// EngineFault says which stage failed, as observed by the stage before it.
type EngineFault struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// The reasons of an EngineFault.
const (
	FaultUnreachable = "unreachable" // no connection: the step did not arrive
	FaultLost        = "lost"        // no answer arrived: the step's outcome is unknown
	FaultGap         = "gap"         // the stage is missing earlier positions
	FaultStale       = "stale"       // a newer attempt took over
	FaultDiverged    = "diverged"    // the same position arrived with different input
	FaultGone        = "gone"        // the stage has no such session
)

// EngineStep sends activations to the next stage.
type EngineStep struct {
	Request string   `json:"request"`
	Attempt int      `json:"attempt"`
	Pos     int      `json:"pos"` // position of the first activation
	Acts    []uint64 `json:"acts"`
	Rebuild bool     `json:"rebuild,omitempty"` // only fill the KV cache; send nothing to the next stage
}

// EngineStepped is the answer to EngineStep: the token sampled after the last
// position, or the fault that prevented it.
type EngineStepped struct {
	Token int          `json:"token"`
	Fault *EngineFault `json:"fault,omitempty"`
}

// EngineReplay tells a stage to send its saved activations to a replacement of
// the next stage.
type EngineReplay struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	To      string `json:"to"`
	From    int    `json:"from"` // first position that the replacement is missing
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

// EngineOrder tells an engine which layers to load or unload. Epoch and Sequence
// are a fencing token: an engine that checks them rejects an order older than the
// newest that it has received.
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
