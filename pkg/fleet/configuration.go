// Package fleet is the model of a deployment whose operator sends whole
// configurations and whose endpoints announce themselves: routes, services,
// engines, client accounts and endpoints.
package fleet

import "time"

// RouteKind says what may be done with a request of a route.
type RouteKind int

// The kinds of route. The zero RouteKind is Unsafe, the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

var routeKindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the kind's name.
func (k RouteKind) String() string {
	return routeKindNames[k]
}

// Configuration is everything that an operator declares, under one version.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event, is
	// worth the most.
	Goal time.Duration
	// GapGoal is the longest pause between events that keeps a stream in time.
	GapGoal  time.Duration
	Priority int
	Split    []Share
	// MaxAttempts is the most endpoints that may run one request.
	MaxAttempts int
	// Anonymous requests carry no key.
	Anonymous bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of like endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for an ordinary service.
	Engine *Engine
}

// Engine is what a service of model engines tells of itself. Times are those
// of an accelerator with pace 1.
type Engine struct {
	Model    string
	Slots    int
	Layers   int
	LayerMB  float64
	StepTime time.Duration // a step through all layers
	// PerSequence is added to a step for each sequence that writes.
	PerSequence time.Duration
	// PerContext is added to a step for each 1,000 tokens of context.
	PerContext    time.Duration
	ReadPerSecond float64 // prompt tokens
	CacheBytes    float64 // KV cache of a token in one layer
	ActivationB   float64 // bytes passed on for a token
	PipeMbps      float64 // between failure domains, shared
	LoadTime      time.Duration
	// LoadsAtOnce is how many loads the weights' store serves at full speed; more
	// take longer, each of them. 0 if that isn't known.
	LoadsAtOnce int
	Prompt      int                          // mean tokens
	Answer      int                          // mean tokens
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
	MB float64
	// Pace multiplies steps and context, ReadFactor the time of reading.
	Pace       float64
	ReadFactor float64
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
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

// MaxLayers returns how many layers fit into an accelerator's memory at all.
func (e *Engine) MaxLayers(kind string) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return int(e.Kinds[kind].MB / e.LayerMB)
}

// CacheTokens returns how many tokens' KV cache, times layers, fit beside held
// layers.
func (e *Engine) CacheTokens(kind string, heldLayers int) float64 {
	freeMB := e.Kinds[kind].MB - float64(heldLayers)*e.LayerMB
	if freeMB <= 0 || e.CacheBytes <= 0 {
		return 0
	}
	return freeMB * 1e6 / e.CacheBytes
}
