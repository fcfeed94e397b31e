package failure

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Error is a failure of one kind. It may override what the table says of its kind.
type Error struct {
	kind       Kind
	detail     string
	ran        Ran
	retryAfter time.Duration
	cause      error
}

// New returns a failure of kind k; the formatted text is for the person who reads the answer.
func New(k Kind, format string, args ...any) *Error {
	entry := k.Answer()
	return &Error{
		kind:       k,
		detail:     fmt.Sprintf(format, args...),
		ran:        entry.Ran,
		retryAfter: entry.RetryAfter,
	}
}

// Wrap returns a failure of kind k that err caused.
func Wrap(err error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = err
	return e
}

// WithRan returns a copy of e that overrides whether the request was run.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.kind.String() + ": " + e.detail
	}
	return e.kind.String() + ": " + e.detail + ": " + e.cause.Error()
}

// Unwrap returns the cause of e, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

func (e *Error) Kind() Kind {
	return e.kind
}

// Detail returns the text for the person who reads the answer, without the kind and the cause.
func (e *Error) Detail() string {
	return e.detail
}

// Ran returns whether the request was run, as far as it is known.
func (e *Error) Ran() Ran {
	return e.ran
}

// RetryAfter returns the time after which to retry; zero means that retrying is useless.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// From returns the *Error in err's chain; an err without one is wrapped as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}
