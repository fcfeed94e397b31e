package fleet

import (
	"math"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// maxAnnouncedBytes bounds each text that an endpoint announces. Every host keeps it, and a
// list of all endpoints contains it.
const maxAnnouncedBytes = 256

// AnnouncementError is the error of an announcement that can't be an endpoint's.
type AnnouncementError struct {
	cause error
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return "invalid announcement: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *AnnouncementError) Unwrap() error {
	return e.cause
}

// ValidateAnnounced checks an endpoint that was announced from outside. What passes can be encoded
// for other hosts, and decoded by them unchanged: one entry that can't be encoded would stop every
// message that contains it. The error is an *AnnouncementError.
func (e *Endpoint) ValidateAnnounced() error {
	if err := ValidateID(e.ID); err != nil {
		return err
	}
	for _, f := range [...]struct {
		name string
		text string
	}{
		{"service", e.Service},
		{"address", e.Address},
		{"failure domain", e.Domain},
		{"accelerator", e.Kind},
		{"model", e.Model},
	} {
		if err := validateText(f.text); err != nil {
			return &AnnouncementError{
				cause: errors.Wrap(err, f.name),
			}
		}
	}
	for _, n := range [...]int{e.Slots, e.Layers.From, e.Layers.To} {
		if n < 0 || n > math.MaxInt32 {
			return &AnnouncementError{
				cause: errors.New("a number is out of its range"),
			}
		}
	}
	return nil
}

// ValidateID checks an endpoint's id that comes from outside. The error is an *AnnouncementError.
func ValidateID(id string) error {
	err := validateText(id)
	if own, _ := SplitIncarnation(id); err == nil && own == "" {
		err = errors.New("it is empty")
	}
	if err != nil {
		return &AnnouncementError{
			cause: errors.Wrap(err, "id"),
		}
	}
	return nil
}

func validateText(text string) error {
	if len(text) > maxAnnouncedBytes {
		return errors.New("it is too long")
	}
	if !utf8.ValidString(text) {
		return errors.New("it isn't UTF-8")
	}
	for _, r := range text {
		if unicode.IsControl(r) {
			return errors.New("it has a control character")
		}
	}
	return nil
}
