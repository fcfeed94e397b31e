// Package failure defines the closed list of the ways in which larchwinch refuses or fails a
// request, and the table that maps each of them to the answer for a caller or operator.
package failure

import (
	"net/http"
	"time"
)

// Kind is a kind of failure. The zero Kind is Internal.
type Kind int

// The kinds. Answer returns the table's entry of each.
const (
	Internal Kind = iota
	BadRequest
	BodyTooLarge
	Unauthenticated
	Forbidden
	NotFound
	UnknownModel
	UnknownService
	MethodNotAllowed
	RateLimited
	ConcurrencyLimited
	TokensLimited
	Overloaded
	NoChain
	NoEndpoint
	Draining
	NotReady
	DeadlineExceeded
	EndpointFailed
	OutcomeUnknown
	InProgress
	KeyReused
	ClaimsFull
	ControlUnavailable
	BundleInvalid
	VersionConflict
	ParentConflict
	SignatureMissing
	ResumeInvalid
	HeadTooLarge
	Quarantined
	Isolated
	numKinds
)

// Ran says whether a failed request was run.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is an entry of the table: how a failure of a kind is answered.
type Answer struct {
	// Name is the kind's name in an error body.
	Name string
	// Status is the HTTP status.
	Status int
	// Ran is the default for failures that don't override it.
	Ran Ran
	// RetryAfter is the shortest time after which a retry is useful; zero means that the same
	// request will fail again.
	RetryAfter time.Duration
	// Meaning is the sentence for the error reference.
	Meaning string
}

var table = [numKinds]Answer{
	Internal:           {Name: "internal", Status: http.StatusInternalServerError, Ran: RanUnknown, RetryAfter: time.Second, Meaning: "A fault of larchwinch itself."},
	BadRequest:         {Name: "bad_request", Status: http.StatusBadRequest, Ran: RanNo, Meaning: "The request can't be read or names something that isn't allowed."},
	BodyTooLarge:       {Name: "body_too_large", Status: http.StatusRequestEntityTooLarge, Ran: RanNo, Meaning: "The body is larger than the settings allow."},
	Unauthenticated:    {Name: "unauthenticated", Status: http.StatusUnauthorized, Ran: RanNo, Meaning: "The key is missing or belongs to no client account or operator."},
	Forbidden:          {Name: "forbidden", Status: http.StatusForbidden, Ran: RanNo, Meaning: "The key is known but may not do this."},
	NotFound:           {Name: "not_found", Status: http.StatusNotFound, Ran: RanNo, Meaning: "There is nothing at this path or under this name."},
	UnknownModel:       {Name: "unknown_model", Status: http.StatusNotFound, Ran: RanNo, Meaning: "No bundle in force names this model or pipeline."},
	UnknownService:     {Name: "unknown_service", Status: http.StatusNotFound, Ran: RanNo, Meaning: "No bundle in force names this service."},
	MethodNotAllowed:   {Name: "method_not_allowed", Status: http.StatusMethodNotAllowed, Ran: RanNo, Meaning: "The path exists, but not for this method."},
	RateLimited:        {Name: "rate_limited", Status: http.StatusTooManyRequests, Ran: RanNo, RetryAfter: time.Second, Meaning: "The client account has used its requests for now."},
	ConcurrencyLimited: {Name: "concurrency_limited", Status: http.StatusTooManyRequests, Ran: RanNo, RetryAfter: time.Second, Meaning: "The client account has as many requests in flight as it may."},
	TokensLimited:      {Name: "tokens_limited", Status: http.StatusTooManyRequests, Ran: RanNo, RetryAfter: 2 * time.Second, Meaning: "The client account has used its tokens for now."},
	Overloaded:         {Name: "overloaded", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "The queue is longer than the latency budget allows."},
	NoChain:            {Name: "no_chain", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: 2 * time.Second, Meaning: "No set of live endpoints covers every layer of the model."},
	NoEndpoint:         {Name: "no_endpoint", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "No endpoint of the service takes work."},
	Draining:           {Name: "draining", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "This host is leaving; use another address."},
	NotReady:           {Name: "not_ready", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "This host isn't sure yet which bundles are in force."},
	DeadlineExceeded:   {Name: "deadline_exceeded", Status: http.StatusGatewayTimeout, Ran: RanUnknown, RetryAfter: time.Second, Meaning: "The request's time ran out."},
	EndpointFailed:     {Name: "endpoint_failed", Status: http.StatusBadGateway, Ran: RanUnknown, RetryAfter: time.Second, Meaning: "An endpoint failed and the request could not be carried on."},
	OutcomeUnknown:     {Name: "outcome_unknown", Status: http.StatusConflict, Ran: RanUnknown, Meaning: "A request that must not be repeated was sent and its outcome was lost; it is never sent again."},
	InProgress:         {Name: "in_progress", Status: http.StatusConflict, Ran: RanUnknown, RetryAfter: time.Second, Meaning: "The first request with this key is still running; come back for its result."},
	KeyReused:          {Name: "key_reused", Status: http.StatusUnprocessableEntity, Ran: RanNo, Meaning: "The idempotency key was used before with another body."},
	ClaimsFull:         {Name: "claims_full", Status: http.StatusTooManyRequests, Ran: RanNo, RetryAfter: 5 * time.Second, Meaning: "The client account keeps as many claimed keys as it may."},
	ControlUnavailable: {Name: "control_unavailable", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "No majority of the control replicas can be reached."},
	BundleInvalid:      {Name: "bundle_invalid", Status: http.StatusUnprocessableEntity, Ran: RanNo, Meaning: "The bundle breaks a rule; every breach is listed."},
	VersionConflict:    {Name: "version_conflict", Status: http.StatusConflict, Ran: RanNo, Meaning: "This version stands already with other content."},
	ParentConflict:     {Name: "parent_conflict", Status: http.StatusConflict, Ran: RanNo, Meaning: "The bundle isn't built on the version that stands."},
	SignatureMissing:   {Name: "signature_missing", Status: http.StatusForbidden, Ran: RanNo, Meaning: "Too few operators who may sign this bundle have signed it."},
	Quarantined:        {Name: "quarantined", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: 30 * time.Second, Meaning: "Endpoints ended under this request, so it is kept from them for a while."},
	Isolated:           {Name: "isolated", Status: http.StatusServiceUnavailable, Ran: RanNo, RetryAfter: time.Second, Meaning: "This host reaches no endpoint of the service; use another address."},
	HeadTooLarge:       {Name: "head_too_large", Status: http.StatusRequestHeaderFieldsTooLarge, Ran: RanNo, Meaning: "The request's head is larger than the limits allow."},
	ResumeInvalid:      {Name: "resume_invalid", Status: http.StatusBadRequest, Ran: RanNo, Meaning: "The Last-Event-ID isn't one that this request could have had."},
}

// Answer returns the kind's entry of the table; an unknown kind has that of Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= numKinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name in an error body.
func (k Kind) String() string {
	return k.Answer().Name
}

func Kinds() []Kind {
	all := make([]Kind, 0, numKinds)
	for k := Kind(0); k < numKinds; k++ {
		all = append(all, k)
	}
	return all
}

// KindNamed returns the kind with the given name, and whether there is one.
func KindNamed(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.String() == name {
			return k, true
		}
	}
	return Internal, false
}
