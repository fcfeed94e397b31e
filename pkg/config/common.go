// Package config reads and validates the settings of each program. All problems
// of a settings file are reported at once.
package config

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/keys"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Duration is a time.Duration in a settings file, such as "250ms" or "10s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; allowed: a number with ms, s, m or h, such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// Or returns the duration, or def if it is 0.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Signer is an operator whose signatures of the named bundles are accepted.
type Signer struct {
	Name      string   `toml:"name"`
	PublicKey string   `toml:"public_key"`
	Bundles   []string `toml:"bundles"`
}

// Common is the settings that control and entry hosts share.
type Common struct {
	Host    string `toml:"host"`
	Domain  string `toml:"domain"`
	Log     string `toml:"log"`
	Metrics string `toml:"metrics_address"`
}

func (l Common) check(p *check.Problems) {
	p.Name("host", l.Host)
	p.Name("domain", l.Domain)
	p.Address("metrics_address", l.Metrics)
}

// Trust says whose signatures are accepted, and how many a bundle needs.
type Trust struct {
	RequiredSignatures int      `toml:"required_signatures"`
	Signers            []Signer `toml:"signer"`
}

func (t Trust) check(p *check.Problems) {
	p.Range("required_signatures", t.RequiredSignatures, 1, max(1, len(t.Signers)))
	if len(t.Signers) == 0 {
		p.Add("signer", "at least one", "missing")
	}
	seen := map[string]bool{}
	for i, s := range t.Signers {
		prefix := keyPrefix("signer", i)
		p.Name(prefix+"name", s.Name)
		p.Unique(prefix+"name", s.Name, seen)
		if _, err := bundle.NewSigner(s.Name, s.PublicKey, s.Bundles); err != nil {
			p.Add(prefix+"public_key", "what `larchwinch key new` prints", "%v", err)
		}
		if len(s.Bundles) == 0 {
			p.Add(prefix+"bundles", `names of bundles, or "*"`, "missing")
		}
	}
}

// Build returns the bundle.Trust that these settings describe.
func (t Trust) Build() (*bundle.Trust, error) {
	signers := make([]bundle.Signer, 0, len(t.Signers))
	for _, s := range t.Signers {
		one, err := bundle.NewSigner(s.Name, s.PublicKey, s.Bundles)
		if err != nil {
			return nil, err
		}
		signers = append(signers, one)
	}
	return bundle.NewTrust(signers, t.RequiredSignatures), nil
}

// checkTLSFiles adds problems with the files of mutual TLS, if any are set.
func checkTLSFiles(f keys.Files, p *check.Problems) {
	if !f.Set() {
		return
	}
	if _, err := keys.New(f, timer.NewSystem()); err != nil {
		p.Add("tls", "certificate, key and authority, each a PEM file that can be read", "%v", err)
	}
}

// decodeFile reads a settings file into v. It reports whether v can be checked
// further.
func decodeFile(file string, v any, p *check.Problems) bool {
	text, err := os.ReadFile(file)
	if err != nil {
		p.Add("(file)", "a file that can be read", "%v", err)
		return false
	}
	return p.Decode(text, v)
}
