// Package answer writes HTTP answers: JSON, and failures in their one shape.
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
	_ = json.NewEncoder(w).Encode(v) // the caller is gone if it fails
}

// Failure writes err as an error answer. An err of no kind becomes internal.
func Failure(w http.ResponseWriter, err error) {
	f := failure.From(err)
	if d := f.RetryAfter(); d > 0 {
		seconds := int64((d + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	Status(w, f.Kind().Answer().Status, Body(f))
}

// Body returns the error body of a failure, also used inside a stream.
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
