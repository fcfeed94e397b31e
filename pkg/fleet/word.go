package fleet

import (
	"strconv"
	"time"
)

// Word is what an endpoint says of itself in an answer, whatever the answer is to.
type Word struct {
	// Leaving says that it takes no new work, for good.
	Leaving bool
	// Rest is for how long it wants nothing from this host; 0: it asks for none.
	Rest time.Duration
	// Limit is how much it takes from all hosts together.
	Limit Limit
}

// LimitWord is what an answer says of a limit.
type LimitWord int

// The words.
const (
	// LimitUnsaid: there was no answer, or its word can't be read.
	LimitUnsaid LimitWord = iota
	// LimitNone: an answer that names no limit.
	LimitNone
	// LimitNamed: an answer that names one.
	LimitNamed
)

// Limit is the limit that an answer names, or doesn't.
type Limit struct {
	Says      LimitWord
	PerSecond float64 // requests, if it is named; 0 or more
}

// TurnedAway is the error of an order that an endpoint didn't take.
type TurnedAway struct {
	Status int
	Text   string
	Says   Word
}

// Error implements error.
func (e *TurnedAway) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Text
}
