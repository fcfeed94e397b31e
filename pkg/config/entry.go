package config

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/keys"
)

// Entry is the settings of an entry host.
type Entry struct {
	Common
	Trust
	TLS            keys.Files `toml:"tls"`
	CallerAddress  string     `toml:"caller_address"`
	RPCAddress     string     `toml:"rpc_address"`
	Control        []string   `toml:"control"`
	Peers          []string   `toml:"peers"`
	BodyLimitKB    int        `toml:"body_limit_kb"`
	Queue          int        `toml:"queue"`
	LatencyBudget  Duration   `toml:"latency_budget"`
	DrainTimeout   Duration   `toml:"drain_timeout"`
	RequestTimeout Duration   `toml:"request_timeout"`
	Policy         string     `toml:"routing_policy"`
}

// Policies are the allowed values of routing_policy; the first is the default.
var Policies = []string{"expected-finish", "least-outstanding", "two-choices", "round-robin", "by-capacity"}

const (
	maxBodyLimitKB = 64 * 1024
	maxQueue       = 1_000_000
	defaultBodyKB  = 1024
	defaultQueue   = 512
)

// ReadEntry reads and validates an entry host's settings.
func ReadEntry(file string) (*Entry, error) {
	p := check.New(file)
	c := &Entry{
		BodyLimitKB: defaultBodyKB,
		Queue:       defaultQueue,
		Policy:      Policies[0],
	}
	if !decodeFile(file, c, p) {
		return nil, p.Err()
	}
	c.check(p)
	return c, p.Err()
}

func (c *Entry) check(p *check.Problems) {
	c.Common.check(p)
	c.Trust.check(p)
	checkTLSFiles(c.TLS, p)
	p.Address("caller_address", c.CallerAddress)
	p.Address("rpc_address", c.RPCAddress)
	checkAddresses("control", c.Control, p)
	for i, a := range c.Peers {
		p.Address(fmt.Sprintf("peers.%d", i), a)
	}
	p.Range("body_limit_kb", c.BodyLimitKB, 1, maxBodyLimitKB)
	p.Range("queue", c.Queue, 1, maxQueue)
	checkPolicy(c.Policy, p)
}

func checkPolicy(name string, p *check.Problems) {
	for _, allowed := range Policies {
		if name == allowed {
			return
		}
	}
	p.Add("routing_policy", fmt.Sprint(Policies), "%q is not a routing policy", name)
}

func checkAddresses(key string, list []string, p *check.Problems) {
	if len(list) == 0 {
		p.Add(key, "at least one address", "missing")
	}
	seen := map[string]bool{}
	for i, a := range list {
		at := fmt.Sprintf("%s.%d", key, i)
		p.Address(at, a)
		p.Unique(at, a, seen)
	}
}

func checkURL(key, value string, p *check.Problems) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" {
		p.Add(key, "such as http://10.0.0.9:6000/v1/hosts", "%q is not an http URL", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		p.Add(key, "an IP number and a port", "the host of %q is not an IP number with a port", value)
	}
}

// keyPrefix returns the prefix of the keys of a list's i-th table.
func keyPrefix(list string, i int) string {
	return fmt.Sprintf("%s.%d.", list, i)
}
