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
	// Wait is how long the caller waits, counted from Received; 0 if unknown.
	Wait     time.Duration
	Received time.Time
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string
	// Prompt and MaxAnswer are tokens; AnswerHint is the caller's estimate.
	Prompt     int
	MaxAnswer  int
	AnswerHint int
}

// Call is one request as it is sent to an endpoint.
type Call struct {
	Request   *Request
	ID        string // incarnation expected at Address
	Address   string
	Account   string
	Wait      time.Duration
	Path      []fleet.Part
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
	// Fault is the address of the endpoint on the path that is at fault.
	Fault string
	// Sealed says that the answer is the endpoint's own and not damaged.
	Sealed bool
	// Says is of the endpoint at fault, or of who gave the answer if none is named.
	Says fleet.Word
}

// SendError says that no answer came.
type SendError struct {
	// Sent says that the request may have reached the endpoint.
	Sent  bool
	Cause error
	// Says is what the endpoint says of itself in an answer that is no good.
	Says fleet.Word
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
	At string // the endpoint's address
	// Says is of that endpoint, or of the first of the path.
	Says fleet.Word
}

// Error implements error.
func (e *RepathError) Error() string {
	return "the endpoint at " + e.At + " isn't there or has no room"
}

// Standstill is what the first endpoint of paths tells of requests that stand still.
type Standstill struct {
	At   map[string]string // address by request
	Says fleet.Word
}

// Backend reaches endpoints.
type Backend interface {
	// Send sends a call; its error is a *SendError.
	Send(ctx context.Context, c *Call) (*Answer, error)
	// Stalled asks the first endpoint of a path which requests stand still. What
	// it says of itself is told with any answer, also beside an error.
	Stalled(ctx context.Context, address string) (Standstill, error)
	// Repath gives a request that is under way another path with the same
	// first part. Its error is a *RepathError if it names an endpoint, or a
	// *fleet.TurnedAway.
	Repath(ctx context.Context, address, requestID string, path []fleet.Part) error
}

// Output takes the answer to a caller.
type Output interface {
	// Refuse writes a failure of our own.
	Refuse(e *failure.Error)
	// Whole writes an endpoint's whole answer.
	Whole(status int, header http.Header, body []byte)
	// Begin writes the head of a stream.
	Begin(status int, header http.Header)
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
	// Leaves says that an endpoint told this host itself that it leaves.
	Leaves(id string)
	// GaveUp reports whether an endpoint is known to have given up some of
	// layers: it was ordered to hold others.
	GaveUp(id string, layers fleet.Range) bool
	// EndpointSlow returns how many times as slow as its kind an endpoint is.
	EndpointSlow(id string) float64
	// Changed returns a channel that is closed when endpoints change.
	Changed() <-chan struct{}
	// Settled reports whether every endpoint had time to announce itself
	// since the control hosts began.
	Settled() bool
	// Confirmed returns a channel that is closed with the next confirmation.
	Confirmed() <-chan struct{}
	// OthersLoad returns what the other entry hosts have under way.
	OthersLoad(id string) Load
	// StopsIn returns how long this host still works, once it was told to stop.
	StopsIn() (left time.Duration, stops bool)
	// Hosts returns how many entry hosts share the work.
	Hosts() int
	// Borrow asks the leader for permits, one for each of the endpoints or one for any
	// of them, and waits so long for it.
	Borrow(ctx context.Context, ids []string, each bool, priority int, wait time.Duration) Loan
	// TellLimits has the leader told at once of what this host heard of limits.
	TellLimits()
}

// Loan is the leader's answer to a host that borrows.
type Loan struct {
	// Due is 0 once the permits are in the host's book, and else when there is one.
	Due time.Duration
	// Gap is the time between two permits for this host; 0 if that isn't known.
	Gap time.Duration
}

// Load is work under way at an endpoint.
type Load struct {
	Requests int
	Tokens   int
}

// Budget bounds repeats over all hosts.
type Budget struct {
	// Ratio is repeats for each request, Extra those beyond it in a Window.
	Ratio  float64
	Extra  float64
	Window time.Duration
}
