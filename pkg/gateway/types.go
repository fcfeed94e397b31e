package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Request is a caller's request, read whole.
type Request struct {
	ID     string
	Method string
	// Target is path and query as the caller wrote them.
	Target string
	Path   string
	Host   string
	// Header is what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key names the client account; empty if none was sent.
	Key string
	// Timeout is how long the caller waits, counted from Received; 0 if unknown.
	Timeout  time.Duration
	Received time.Time
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string
	// PromptTokens and MaxAnswer are tokens; AnswerHint is the caller's estimate.
	PromptTokens     int
	MaxAnswerTokens  int
	AnswerTokensHint int
}

// Call is one request as it is sent to an endpoint.
type Call struct {
	Request   *Request
	ID        string // incarnation expected at Address
	Address   string
	Account   string
	Timeout   time.Duration
	Path      []fleet.Stage
	LastEvent string
	Priority  int
	// Repeatable says that the request may run more than once.
	Repeatable bool
}

// Answer is an endpoint's.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Misdirected says that another endpoint, or other layers, are there.
	Misdirected bool
	// FaultAddress is the address of the endpoint on the path that is at fault.
	FaultAddress string
	// Verified says that the answer is the endpoint's own and not damaged.
	Verified bool
	// Notice is of the endpoint at fault, or of who gave the answer if none is named.
	Notice fleet.Notice
}

// SendError says that no answer came.
type SendError struct {
	// Sent says that the request may have reached the endpoint.
	Sent  bool
	Cause error
	// Notice is what the endpoint says of itself in an answer that is no good.
	Notice fleet.Notice
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "sent, no answer: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// RepathError says that a new path wasn't taken because of one endpoint on it:
// it isn't there, or has no room.
type RepathError struct {
	Address string // the endpoint's address
	// Notice is of that endpoint, or of the first of the path.
	Notice fleet.Notice
}

// Error implements error.
func (e *RepathError) Error() string {
	return "the endpoint at " + e.Address + " isn't there or has no room"
}

// StallReport is what the first endpoint of paths tells of requests that stand still.
type StallReport struct {
	Addresses map[string]string // address by request
	Notice    fleet.Notice
}

// EndpointClient reaches endpoints.
type EndpointClient interface {
	// Send sends a call; its error is a *SendError.
	Send(ctx context.Context, c *Call) (*Answer, error)
	// QueryStalls asks the first endpoint of a path which requests stand still. What
	// it says of itself is told with any answer, also beside an error.
	QueryStalls(ctx context.Context, address string) (StallReport, error)
	// Repath gives a request that is under way another path with the same
	// first part. Its error is a *RepathError if it names an endpoint, or a
	// *fleet.TurnedAway.
	Repath(ctx context.Context, address, requestID string, path []fleet.Stage) error
}

// Output takes the answer to a caller.
type Output interface {
	// Refuse writes a failure of our own.
	Refuse(e *failure.Error)
	// WriteAnswer writes an endpoint's whole answer.
	WriteAnswer(status int, header http.Header, body []byte)
	// BeginStream writes the head of a stream.
	BeginStream(status int, header http.Header)
	// Event passes bytes on at once.
	Event(data []byte) error
	// Abort breaks the answer off so that it doesn't look complete.
	Abort()
}

// View is what an entry host believes at one moment.
type View struct {
	// Index is nil before the first configuration.
	Index *fleet.Index
	// Fresh says that the configuration was confirmed lately enough to refuse
	// by it; Trusted that no key in it can have been taken away for longer
	// than allowed.
	Fresh   bool
	Trusted bool
	// Age is since when the configuration was last confirmed.
	Age time.Duration
}

// Source is where an entry host's beliefs come from.
type Source interface {
	View() View
	// Endpoints returns the usable endpoints of a service.
	Endpoints(service string) []fleet.Endpoint
	// EndpointLeaving reports whether an endpoint is known to leave or gone.
	EndpointLeaving(id string) bool
	// MarkLeaving says that an endpoint told this host itself that it leaves.
	MarkLeaving(id string)
	// HasReleased reports whether an endpoint is known to have given up some of
	// layers: it was ordered to hold others.
	HasReleased(id string, layers fleet.Range) bool
	// EndpointSlowdown returns how many times as slow as its kind an endpoint is.
	EndpointSlowdown(id string) float64
	// Changed returns a channel that is closed when endpoints change.
	Changed() <-chan struct{}
	// Settled reports whether every endpoint had time to announce itself
	// since the control hosts began.
	Settled() bool
	// Confirmed returns a channel that is closed with the next confirmation.
	Confirmed() <-chan struct{}
	// PeerLoad returns what the other entry hosts have under way.
	PeerLoad(id string) Load
	// ShutdownIn returns how long this host still works, once it was told to stop.
	ShutdownIn() (left time.Duration, stops bool)
	// HostCount returns how many entry hosts share the work.
	HostCount() int
	// RequestPermits asks the leader for permits, one for each of the endpoints or one for any
	// of them, and waits so long for it.
	RequestPermits(ctx context.Context, ids []string, each bool, priority int, wait time.Duration) PermitReply
	// ReportLimits has the leader told at once of what this host heard of limits.
	ReportLimits()
}

// PermitReply is the leader's answer to a host that borrows.
type PermitReply struct {
	// AvailableIn is 0 once the permits are in the host's book, and else when there is one.
	AvailableIn time.Duration
	// Interval is the time between two permits for this host; 0 if that isn't known.
	Interval time.Duration
}

// Load is work under way at an endpoint.
type Load struct {
	Requests int
	Tokens   int
}

// RetryBudget bounds repeats over all hosts.
type RetryBudget struct {
	// Ratio is repeats for each request, Extra those beyond it in a Window.
	Ratio  float64
	Extra  float64
	Window time.Duration
}
