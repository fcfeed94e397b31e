package failure

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Error is a failure of one kind, with what is known beyond the table.
type Error struct {
	kind       Kind
	detail     string
	ran        Ran
	retryAfter time.Duration
	cause      error
}

// New returns a failure of kind k with a sentence for the person who reads it.
func New(k Kind, format string, args ...any) *Error {
	row := k.Answer()
	return &Error{
		kind:       k,
		detail:     fmt.Sprintf(format, args...),
		ran:        row.Ran,
		retryAfter: row.RetryAfter,
	}
}

// Wrap returns a failure of kind k that err caused.
func Wrap(err error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = err
	return e
}

// WithRan returns a copy of e that says ran of the request.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
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

// Unwrap returns what caused e.
func (e *Error) Unwrap() error {
	return e.cause
}

// Kind returns the failure's kind.
func (e *Error) Kind() Kind {
	return e.kind
}

// Detail returns the sentence for the person who reads it.
func (e *Error) Detail() string {
	return e.detail
}

// Ran returns what is known of whether the request was run.
func (e *Error) Ran() Ran {
	return e.ran
}

// RetryAfter returns when coming back makes sense; zero means never.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// From returns err as an *Error; one of no kind becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

// Is reports whether err is a failure of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}
