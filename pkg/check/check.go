// Package check collects the problems of settings files and bundles, so that the
// author sees all of them at once, each with the values that are allowed.
package check

import (
	"bytes"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Problem is a problem with one key of one file.
type Problem struct {
	// File is the file's name as it was given.
	File string `json:"file"`
	// Key is the TOML key, with list positions counted from 0.
	Key string `json:"key"`
	// Wrong describes the problem.
	Wrong string `json:"wrong"`
	// Allowed describes the allowed values, if known.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	line := p.File + ": " + p.Key + ": " + p.Wrong
	if p.Allowed != "" {
		line += "; allowed: " + p.Allowed
	}
	return line
}

// Problems is the list of a file's problems. It is an error if it isn't empty.
type Problems struct {
	file string
	list []Problem
}

// New returns an empty list of problems for file.
func New(file string) *Problems {
	return &Problems{
		file: file,
	}
}

// Add adds a problem with key.
func (p *Problems) Add(key, allowed, format string, args ...any) {
	p.list = append(p.list, Problem{
		File:    p.file,
		Key:     key,
		Wrong:   fmt.Sprintf(format, args...),
		Allowed: allowed,
	})
}

// List returns the problems in the order in which they were added.
func (p *Problems) List() []Problem {
	return p.list
}

// Err returns p if it holds a problem, and nil otherwise.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	return p
}

// Error implements error with one problem a line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.list))
	for _, one := range p.list {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Decode decodes TOML into v and adds a problem for unknown keys, wrong types and
// syntax errors. It reports whether v can be checked further.
func (p *Problems) Decode(text []byte, v any) bool {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return true
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			p.addDecodeError(&strict.Errors[i], "unknown key", "see the reference in docs/operate")
		}
		return true
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		p.addDecodeError(one, one.Error(), "")
		return false
	}
	p.Add("(file)", "", "%v", err)
	return false
}

func (p *Problems) addDecodeError(e *toml.DecodeError, wrong, allowed string) {
	row, column := e.Position()
	key := strings.Join(e.Key(), ".")
	if key == "" {
		key = "(syntax)"
	}
	p.Add(key, allowed, "%s (line %d, column %d)", wrong, row, column)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Name adds a problem unless value is a valid name.
func (p *Problems) Name(key, value string) {
	if !namePattern.MatchString(value) {
		p.Add(key, "1 to 63 of a-z, 0-9, dot, dash and underscore, first a letter or digit", "%q is no name", value)
	}
}

// Unique adds a problem if value is in seen, and then adds value to seen.
func (p *Problems) Unique(key, value string, seen map[string]bool) {
	if seen[value] {
		p.Add(key, "a name that isn't used yet", "%q stands twice", value)
	}
	seen[value] = true
}

// Address adds a problem unless value is an IP address with a port.
func (p *Problems) Address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(key, "an IP number and a port, such as 10.0.0.5:8080", "%q is no address", value)
	}
}

// Range adds a problem unless low <= value <= high.
func (p *Problems) Range(key string, value, low, high int) {
	if value < low || value > high {
		p.Add(key, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

var hexPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// SHA256 adds a problem unless value is a SHA-256 digest in lower-case hexadecimal.
func (p *Problems) SHA256(key, value string) {
	if !hexPattern.MatchString(value) {
		p.Add(key, "64 hexadecimal digits in lower case", "%q is no SHA-256 digest", value)
	}
}
