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
