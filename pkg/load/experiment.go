// Package load sends requests as callers do, checks every answer against the fake
// engines' model, and reports what callers observed.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/config"
)

// Experiment describes the load to send. It is read from a TOML file.
type Experiment struct {
	Name     string          `toml:"name"`
	Entries  []string        `toml:"entries"`
	Layers   int             `toml:"layers"`
	Mode     string          `toml:"mode"`
	Duration config.Duration `toml:"duration"`
	WarmUp   config.Duration `toml:"warm_up"`
	Seed     uint64          `toml:"seed"`
	// Rate is the number of requests a second in open mode. Clients is the number
	// of clients in closed mode, each of which sends one request after the other.
	Rate    float64 `toml:"rate"`
	Clients int     `toml:"clients"`
	// Retries is how often a client retries a request that was refused or failed,
	// after the time that the failure asks it to wait.
	Retries int     `toml:"retries"`
	Classes []Class `toml:"class"`
	// Engines are the addresses of the engines whose cost curves give the bound on
	// the throughput.
	Engines []string `toml:"engines"`
	Batch   int      `toml:"batch"`
}

// Class is one kind of request in the mix. The classes' shares needn't add up to 1.
type Class struct {
	Account     string  `toml:"account"`
	Key         string  `toml:"key"`
	Pipeline    string  `toml:"pipeline"`
	Share       float64 `toml:"share"`
	PromptWords int     `toml:"prompt_words"`
	Tokens      int     `toml:"tokens"`
	// Repeated is the fraction of prompts that all begin with the same text.
	Repeated float64 `toml:"repeated"`
}

// The modes of an experiment: open sends requests at a given rate, closed lets each
// client wait for its answer before it sends the next one.
const (
	ModeOpen   = "open"
	ModeClosed = "closed"
)

const (
	maxRequests = 10_000
	maxDuration = time.Hour
)

// Read reads and checks an experiment.
func Read(file string) (*Experiment, error) {
	p := check.New(file)
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	e := &Experiment{}
	if !p.Decode(text, e) {
		return nil, p.Err()
	}
	e.check(p)
	return e, p.Err()
}

func (e *Experiment) check(p *check.Problems) {
	p.Name("name", e.Name)
	for i, a := range e.Entries {
		p.Address(fmt.Sprintf("entries.%d", i), a)
	}
	if len(e.Entries) == 0 {
		p.Add("entries", "at least one address", "missing")
	}
	p.Range("layers", e.Layers, 1, 512)
	if d := time.Duration(e.Duration); d <= 0 || d > maxDuration {
		p.Add("duration", "more than 0s, at most 1h", "%s", d)
	}
	switch e.Mode {
	case ModeClosed:
		p.Range("clients", e.Clients, 1, maxRequests)
	case ModeOpen:
		if e.Rate <= 0 || e.Rate > maxRequests {
			p.Add("rate", "more than 0, at most 10000", "%g", e.Rate)
		}
	default:
		p.Add("mode", "open, closed", "%q is no mode", e.Mode)
	}
	if len(e.Classes) == 0 {
		p.Add("class", "at least one", "missing")
	}
	for i, c := range e.Classes {
		at := fmt.Sprintf("class.%d.", i)
		p.Name(at+"account", c.Account)
		p.Range(at+"prompt_words", c.PromptWords, 1, 100_000)
		p.Range(at+"tokens", c.Tokens, 1, 100_000)
		if c.Share <= 0 {
			p.Add(at+"share", "more than 0", "%g", c.Share)
		}
	}
}
