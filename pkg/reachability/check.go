package reachability

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Result is what a check of an endpoint found.
type Result string

// The results. Failed means that the connection failed for another reason, such as too few
// file descriptors on this host, and Late that this host was suspended meanwhile or had no
// processor time. Neither says anything about the endpoint.
const (
	Alive   Result = "alive"
	Refused Result = "refused"
	Silent  Result = "silent"
	Failed  Result = "failed"
	Late    Result = "late"
)

// Lost reports whether the endpoint did not accept a connection.
func (r Result) Lost() bool {
	return r == Refused || r == Silent
}

// Conclusive reports whether the result says anything about the endpoint.
func (r Result) Conclusive() bool {
	return r == Alive || r.Lost()
}

// Connector opens a connection to an address and closes it.
type Connector interface {
	Dial(ctx context.Context, address string) error
}

// Asker sends a query to an address over a connection of its own. It fails unless some
// answer comes.
type Asker interface {
	Ask(ctx context.Context, address string) error
}

// Checker checks endpoints by connecting to them twice, so that one lost packet does not
// make an endpoint count as lost.
type Checker struct {
	Connector Connector
	// Asker is needed for CheckAnswer only.
	Asker Asker
	Timer timer.Service
	// SecondDelay is the time between the two attempts.
	SecondDelay time.Duration
	// VerdictDelay is how long after the second attempt an endpoint that has answered
	// neither counts as silent.
	VerdictDelay time.Duration
	// MaxLateness is by how much the timer of the verdict may be late. If it is later, an
	// answer may be there that has not been read yet.
	MaxLateness time.Duration
}

// Check connects to an endpoint whose answers take roundTrip longer than within a failure
// domain.
func (c Checker) Check(ctx context.Context, address string, roundTrip time.Duration) Result {
	grp := group.New(ctx)
	defer grp.Stop()
	answers := make(chan error, 2)
	attempt := func(ctx context.Context) {
		answers <- c.Connector.Dial(ctx, address)
	}
	grp.Go(attempt)
	second := c.Timer.After(c.SecondDelay)
	var verdict <-chan time.Time
	var due time.Time
	for {
		select {
		case err := <-answers:
			return resultOf(err)
		case <-second:
			second = nil
			grp.Go(attempt)
			due = c.Timer.Now().Add(c.VerdictDelay + roundTrip)
			verdict = c.Timer.After(c.VerdictDelay + roundTrip)
		case <-verdict:
			if len(answers) > 0 {
				return resultOf(<-answers)
			}
			if c.Timer.Now().Sub(due) > c.MaxLateness {
				return Late
			}
			return Silent
		}
	}
}

// answerDelay is how long an endpoint may take to answer a query, which runs nothing. A lost
// packet is sent again within 0.2 s.
const answerDelay = 400 * time.Millisecond

// CheckAnswer asks an endpoint.
func (c Checker) CheckAnswer(ctx context.Context, address string) Result {
	grp := group.New(ctx)
	defer grp.Stop()
	answers := make(chan error, 1)
	grp.Go(func(ctx context.Context) {
		answers <- c.Asker.Ask(ctx, address)
	})
	due := c.Timer.Now().Add(answerDelay)
	select {
	case err := <-answers:
		return resultOf(err)
	case <-c.Timer.After(answerDelay):
	}
	if c.Timer.Now().Sub(due) > c.MaxLateness {
		return Late
	}
	return Silent
}

// resultOf returns the result of a check whose attempt to connect ended with err.
func resultOf(err error) Result {
	switch {
	case err == nil:
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	default:
		return Failed
	}
}
