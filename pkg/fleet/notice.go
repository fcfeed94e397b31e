package fleet

import (
	"strconv"
	"time"
)

// Notice is what an endpoint reports of itself with any answer.
type Notice struct {
	// Leaving says that it takes no new work any more.
	Leaving bool
	// Backoff is for how long this host is to send it nothing; 0 if it asks for
	// no backoff.
	Backoff time.Duration
	// Limit is its rate limit, for all hosts together.
	Limit RateLimit
}

// LimitStatus says whether an answer reports a rate limit.
type LimitStatus int

// The values of LimitStatus.
const (
	// LimitUnknown: there was no answer, or its limit can't be parsed.
	LimitUnknown LimitStatus = iota
	// LimitNone: the answer reports no limit.
	LimitNone
	// LimitSet: the answer reports a limit.
	LimitSet
)

// RateLimit is the rate limit that an endpoint reports with an answer, if any.
type RateLimit struct {
	Status    LimitStatus
	PerSecond float64 // requests, with LimitSet; 0 or more
}

// RejectedError is the error of an order that an endpoint rejected.
type RejectedError struct {
	Status int
	Text   string
	Notice Notice
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// OtherIncarnationError is the error of a call to an incarnation that another incarnation of
// the endpoint answered. The notice is about that one.
type OtherIncarnationError struct {
	ID     string // of the one that answered
	Notice Notice
}

// Error implements error.
func (e *OtherIncarnationError) Error() string {
	return "answered by another incarnation, " + e.ID
}
