// Package answer writes HTTP responses: JSON, and failures in the format that all
// APIs of larchwinch share.
package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

// JSON writes v with status 200.
func JSON(w http.ResponseWriter, v any) {
	Status(w, http.StatusOK, v)
}

// Status writes v with a status.
func Status(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // it fails only if the caller has disconnected
}

// Failure writes err as an error response. An err without a kind is written as an
// internal one.
func Failure(w http.ResponseWriter, err error) {
	f := failure.From(err)
	if d := f.RetryAfter(); d > 0 {
		seconds := int64((d + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	Status(w, f.Kind().Answer().Status, Body(f))
}

// Body returns the JSON body for a failure. It is also sent as an event of a stream.
func Body(f *failure.Error) api.Error {
	return api.Error{
		Error: api.ErrorBody{
			Kind:         f.Kind().String(),
			Message:      f.Detail(),
			Ran:          string(f.Ran()),
			RetryAfterMS: f.RetryAfter().Milliseconds(),
			Type:         f.Kind().String(),
			Code:         f.Kind().String(),
		},
	}
}
