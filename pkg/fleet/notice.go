package fleet

import (
	"strconv"
	"time"
)

// Notice is what an endpoint says of itself in an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that it takes no new work, for good.
	Leaving bool
	// Backoff is for how long it wants nothing from this host; 0: it asks for none.
	Backoff time.Duration
	// Limit is how much it takes from all hosts together.
	Limit Limit
}

// LimitStatus is what an answer says of a limit.
type LimitStatus int

// The words.
const (
	// LimitUnknown: there was no answer, or its word can't be read.
	LimitUnknown LimitStatus = iota
	// LimitNone: an answer that names no limit.
	LimitNone
	// LimitSet: an answer that names one.
	LimitSet
)

// Limit is the limit that an answer names, or doesn't.
type Limit struct {
	Status    LimitStatus
	PerSecond float64 // requests, if it is named; 0 or more
}

// RejectedError is the error of an order that an endpoint didn't take.
type RejectedError struct {
	Status int
	Text   string
	Notice Notice
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Text
}
