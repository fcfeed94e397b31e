package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Request is a caller's request, with its complete body.
type Request struct {
	ID     string
	Method string
	// Target is path and query as the caller wrote them.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	Body   []byte
	// Key identifies the client account; empty if the caller sent none.
	Key string
	// Timeout is how long the caller waits, counted from Received; 0 if unknown.
	Timeout  time.Duration
	Received time.Time
	// LastEvent is the ID of the event after which the caller resumes a stream.
	LastEvent string
	// PromptTokens is the size of the prompt, MaxAnswerTokens the caller's limit for
	// the answer, and AnswerTokensHint the caller's estimate of the answer; 0 if
	// unknown.
	PromptTokens     int
	MaxAnswerTokens  int
	AnswerTokensHint int
	// SharedParts identifies, in order, the parts of the prompt that other requests may
	// share.
	SharedParts []string
	// Relayed is set if another entry host sent the request here.
	Relayed *Relayed
}

// Relayed is what an entry host tells another one with a caller's request.
type Relayed struct {
	// ConfigVersion is the version of the sender's configuration. A host that holds an
	// older one must not decide about the request.
	ConfigVersion uint64
	// Attempts is how many endpoints may have run the request already.
	Attempts int
}

// RelayCall is a caller's request as it is sent to another entry host.
type RelayCall struct {
	Request   *Request
	Address   string
	Relayed   Relayed
	Timeout   time.Duration
	LastEvent string
	// Repeatable says that the request may run once more if this call fails.
	Repeatable bool
}

// RelayAnswer is another entry host's answer: that of an endpoint, or its own Failure.
type RelayAnswer struct {
	Answer
	Failure *failure.Error
}

// PeerClient calls other entry hosts.
type PeerClient interface {
	// Relay sends a request. Its error is a *SendError.
	Relay(ctx context.Context, c *RelayCall) (*RelayAnswer, error)
}

// Reachability tells which services this host reaches.
type Reachability interface {
	// Unreachable reports whether no endpoint of a service accepts this host's connections.
	Unreachable(service string) bool
	// Doubt records that a connection to an endpoint broke. It calls then, now or later,
	// with whether this host reaches the endpoint's service.
	Doubt(address string, then func(reached bool))
}

// Call is one request as it is sent to an endpoint.
type Call struct {
	Request   *Request
	ID        string // ID of the incarnation expected at Address
	Address   string
	Account   string
	Timeout   time.Duration
	Path      []fleet.Stage
	LastEvent string
	Priority  int
	// Repeatable says that the request may run once more if this call fails.
	Repeatable bool
}

// Answer is an endpoint's answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun says that the endpoint did not run the request and will not run it.
	NotRun bool
	// Misdirected says that the address belongs to another endpoint now, or to one that
	// holds other layers.
	Misdirected bool
	// FaultAddress is the address of the endpoint on the path that is at fault; empty
	// if none is named.
	FaultAddress string
	// Verified says that the answer comes from the endpoint itself and is not damaged.
	Verified bool
	// Notice is about the endpoint at FaultAddress if that is set, and else about the
	// endpoint that answered.
	Notice fleet.Notice
}

// SendError is the error of a call that got no usable answer.
type SendError struct {
	// Sent says that the request may have reached the endpoint.
	Sent  bool
	Cause error
	// Notice is what the endpoint reported of itself with an answer that could not be
	// used.
	Notice fleet.Notice
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "sent, no answer: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

func (e *SendError) Unwrap() error {
	return e.Cause
}

// RepathError says that a new path was rejected because of one endpoint on it, which is
// gone or has no free capacity.
type RepathError struct {
	Address string // of the endpoint that was the reason
	// Notice is about that endpoint, or about the first one of the path.
	Notice fleet.Notice
}

// Error implements error.
func (e *RepathError) Error() string {
	return "the endpoint at " + e.Address + " isn't there or has no room"
}

// StallReport lists the stalled requests that the first endpoint of their paths knows
// of.
type StallReport struct {
	Addresses map[string]string // address of the endpoint where a request is stalled, by request ID
	// StartedAt is when the incarnation that answered started; 0 if unknown.
	StartedAt int64
	Notice    fleet.Notice
}

// EndpointClient calls endpoints.
type EndpointClient interface {
	// Send sends a call. Its error is a *SendError.
	Send(ctx context.Context, c *Call) (*Answer, error)
	// QueryStalls asks the first endpoint of a path which requests are stalled. The
	// report's notice is valid with an error too, if an answer came.
	QueryStalls(ctx context.Context, address string) (StallReport, error)
	// Repath gives a request that is in flight another path with the same first stage.
	// Its error is a *RepathError if one endpoint of the path was the reason, or a
	// *fleet.RejectedError.
	Repath(ctx context.Context, address, requestID string, path []fleet.Stage) error
	// Dial opens a connection to an endpoint and closes it at once. Its error is
	// syscall.ECONNREFUSED if the endpoint refused the connection.
	Dial(ctx context.Context, address string) error
}

// Output writes the answer to a caller.
type Output interface {
	// Refuse writes a failure that this host produced.
	Refuse(e *failure.Error)
	// WriteAnswer writes a non-streamed answer of an endpoint.
	WriteAnswer(status int, header http.Header, body []byte)
	// BeginStream writes status and headers of a stream.
	BeginStream(status int, header http.Header)
	// Event writes bytes of a stream and flushes them.
	Event(data []byte) error
	// Abort breaks the answer off in such a way that the caller can tell it is
	// incomplete.
	Abort()
}

// View is an entry host's copy of the configuration, and how current it is.
type View struct {
	// Index is nil before the first configuration.
	Index *fleet.Index
	// Fresh says that the configuration was confirmed recently enough to refuse
	// requests because of it. Trusted says that no key in it can have been revoked for
	// longer than is allowed.
	Fresh   bool
	Trusted bool
	// Age is the time since the configuration was last confirmed.
	Age time.Duration
}

// Source is the local state of an entry host: configuration, endpoints and what other
// hosts report.
type Source interface {
	View() View
	// Endpoints returns the usable endpoints of a service.
	Endpoints(service string) []fleet.Endpoint
	// EndpointLeaving reports whether an endpoint is known to be leaving or gone.
	EndpointLeaving(id string) bool
	// MarkLeaving records that an endpoint told this host directly that it is leaving.
	MarkLeaving(id string)
	// HasReleased reports whether an endpoint is known to have released some of these
	// layers because it was ordered to hold others.
	HasReleased(id string, layers fleet.Range) bool
	// EndpointSlowdown returns how many times as slow as is usual for its kind an
	// endpoint is.
	EndpointSlowdown(id string) float64
	// Changed returns a channel that is closed when endpoints change.
	Changed() <-chan struct{}
	// Settled reports whether every endpoint has had time to announce itself since the
	// leader's term began.
	Settled() bool
	// Confirmed returns a channel that is closed when the configuration is confirmed
	// again.
	Confirmed() <-chan struct{}
	// PeerLoad returns what the other entry hosts have in flight at an endpoint.
	PeerLoad(id string) Load
	// ShutdownIn returns how long this host will go on serving once it was told to
	// stop.
	ShutdownIn() (left time.Duration, stops bool)
	// HostCount returns the number of entry hosts, which share the load.
	HostCount() int
	// Peers returns the addresses at which other entry hosts that reach endpoints take
	// relayed requests.
	Peers() []string
	// RequestPermits asks the leader for permits, one for each of the endpoints if each
	// is set, and one for any of them otherwise. It waits at most wait for them to
	// become available.
	RequestPermits(ctx context.Context, ids []string, each bool, priority int, wait time.Duration) PermitReply
	// ReportLimits sends the rate limits that this host observed to the leader at once.
	ReportLimits()
}

// PermitReply is the leader's answer to a request for permits.
type PermitReply struct {
	// AvailableIn is 0 once the granted permits are in the host's Holder, and otherwise
	// the time until a permit is available.
	AvailableIn time.Duration
	// Interval is the time between two permits for this host; 0 if unknown.
	Interval time.Duration
}

// Load is the work in flight at an endpoint.
type Load struct {
	Requests int
	Tokens   int
}

// RetryBudget limits the retries and hedges of all hosts together.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request, and Extra the number
	// allowed beyond that in each Window.
	Ratio  float64
	Extra  float64
	Window time.Duration
}
