// Package load sends requests as callers do, checks every answer against the
// stand-ins' model, and reports what callers saw.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/config"
)

// Experiment is what to send, read from a TOML file.
type Experiment struct {
	Name     string          `toml:"name"`
	Entries  []string        `toml:"entries"`
	Layers   int             `toml:"layers"`
	Mode     string          `toml:"mode"`
	Duration config.Duration `toml:"duration"`
	WarmUp   config.Duration `toml:"warm_up"`
	Seed     uint64          `toml:"seed"`
	// Rate is requests a second in open mode, Clients how many ask in turn in
	// closed mode.
	Rate    float64 `toml:"rate"`
	Clients int     `toml:"clients"`
	// Retries is how often a client asks again after a refusal, as told to.
	Retries int     `toml:"retries"`
	Classes []Class `toml:"class"`
	// Engines are where the engines' curves are read for the bound.
	Engines []string `toml:"engines"`
	Batch   int      `toml:"batch"`
}

// Class is one part of the mix.
type Class struct {
	Account     string  `toml:"account"`
	Key         string  `toml:"key"`
	Pipeline    string  `toml:"pipeline"`
	Share       float64 `toml:"share"`
	PromptWords int     `toml:"prompt_words"`
	Tokens      int     `toml:"tokens"`
	// Repeated is the part of prompts that begin like one sent before.
	Repeated float64 `toml:"repeated"`
}

// The modes of an experiment.
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
