// Package fleet is the data model of a deployment whose operator submits full
// configurations and whose endpoints register themselves by heartbeats: routes,
// services, engines, client accounts and endpoints.
package fleet

import "time"

// RouteKind says whether a route's requests may run more than once, or are
// answered by a stream.
type RouteKind int

// The kinds of route. The zero RouteKind is Unsafe, the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events.
	Stream
)

var routeKindNames = [...]string{"unsafe", "safe", "stream"}

// String implements fmt.Stringer.
func (k RouteKind) String() string {
	return routeKindNames[k]
}

// Configuration is everything that an operator declares, under one version.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   RequestLimits
}

// Route sends the requests for one host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the target latency of an answer, or of a stream's first event.
	Goal time.Duration
	// GapGoal is the target for the longest pause between a stream's events.
	GapGoal  time.Duration
	Priority int
	Split    []Share
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int
	// Anonymous says that requests need no client account's key.
	Anonymous bool
	// Resumable says that a stream may be continued at another endpoint.
	Resumable bool
}

// Share is a service's weighted share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil unless the endpoints are model engines.
	Engine *Engine
}

// Engine describes a service of model engines. Times are those of an
// accelerator with Pace 1.
type Engine struct {
	Model    string
	Slots    int
	Layers   int
	LayerMB  float64
	StepTime time.Duration // a decode step through all layers
	// PerSequence is added to a step for each sequence that is decoding.
	PerSequence time.Duration
	// PerContext is added to a step for each 1,000 tokens of context.
	PerContext    time.Duration
	ReadPerSecond float64 // prompt tokens prefilled per second
	CacheBytes    float64 // KV cache of a token in one layer
	ActivationB   float64 // bytes sent to the next stage for a token
	PipeMbps      float64 // bandwidth of an inter-domain link, shared by all requests
	LoadTime      time.Duration
	// LoadsAtOnce is how many concurrent loads the weight store serves at full
	// speed; beyond that every load takes longer. 0 if unknown.
	LoadsAtOnce int
	Prompt      int                          // mean length in tokens
	Answer      int                          // mean length in tokens
	Delays      map[DomainPair]time.Duration `json:"-"`
	Kinds       map[string]Kind
}

// DomainPair names two failure domains, in either order.
type DomainPair struct {
	A string
	B string
}

// Kind is one kind of accelerator.
type Kind struct {
	MB float64 // memory
	// Pace multiplies the time of decode steps, with what sequences and context
	// add to them; ReadFactor multiplies the time of prefill.
	Pace       float64
	ReadFactor float64
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int
}

// RequestLimits bound the size of a caller's request.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Delay returns the one-way delay between two failure domains.
func (e *Engine) Delay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	if d, ok := e.Delays[DomainPair{A: a, B: b}]; ok {
		return d
	}
	return e.Delays[DomainPair{A: b, B: a}]
}

// MaxLayers returns how many layers fit into an accelerator's memory if it holds
// no KV cache.
func (e *Engine) MaxLayers(kind string) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return int(e.Kinds[kind].MB / e.LayerMB)
}

// CacheTokens returns how much KV cache fits beside heldLayers layers, in tokens
// times layers.
func (e *Engine) CacheTokens(kind string, heldLayers int) float64 {
	freeMB := e.Kinds[kind].MB - float64(heldLayers)*e.LayerMB
	if freeMB <= 0 || e.CacheBytes <= 0 {
		return 0
	}
	return freeMB * 1e6 / e.CacheBytes
}
