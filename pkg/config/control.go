package config

import (
	"github.com/larchwinch/larchwinch/pkg/check"
	"github.com/larchwinch/larchwinch/pkg/keys"
)

// Control is the settings of a control host's replica.
type Control struct {
	Common
	Trust
	TLS          keys.Files `toml:"tls"`
	ID           uint64     `toml:"id"`
	RPCAddress   string     `toml:"rpc_address"`
	AdminAddress string     `toml:"admin_address"`
	Data         string     `toml:"data"`
	HostList     string     `toml:"host_list"`
	Replicas     []Replica  `toml:"replica"`
	Operators    []Operator `toml:"operator"`
	Tick         Duration   `toml:"tick"`
	ClaimWindow  Duration   `toml:"claim_window"`
}

// Replica is one member of the replicated log.
type Replica struct {
	ID           uint64 `toml:"id"`
	Address      string `toml:"address"`
	AdminAddress string `toml:"admin_address"`
}

// Operator is a person or program that is allowed to use the administration API.
type Operator struct {
	Name      string   `toml:"name"`
	KeySHA256 string   `toml:"key_sha256"`
	Roles     []string `toml:"roles"`
	Bundles   []string `toml:"bundles"`
}

// The roles of an operator.
const (
	RoleRead   = "read"
	RoleSubmit = "submit"
)

const maxReplicas = 9

// ReadControl reads and validates a control replica's settings.
func ReadControl(file string) (*Control, error) {
	p := check.New(file)
	c := &Control{}
	if !decodeFile(file, c, p) {
		return nil, p.Err()
	}
	c.check(p)
	return c, p.Err()
}

func (c *Control) check(p *check.Problems) {
	c.Common.check(p)
	c.Trust.check(p)
	checkTLSFiles(c.TLS, p)
	p.Address("rpc_address", c.RPCAddress)
	p.Address("admin_address", c.AdminAddress)
	if c.Data == "" {
		p.Add("data", "a directory on disk", "missing")
	}
	checkURL("host_list", c.HostList, p)
	c.checkReplicas(p)
	c.checkOperators(p)
}

func (c *Control) checkReplicas(p *check.Problems) {
	p.Range("replica", len(c.Replicas), 1, maxReplicas)
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, r := range c.Replicas {
		prefix := keyPrefix("replica", i)
		p.Address(prefix+"address", r.Address)
		p.Address(prefix+"admin_address", r.AdminAddress)
		p.Unique(prefix+"address", r.Address, addresses)
		if r.ID == 0 || ids[r.ID] {
			p.Add(prefix+"id", "1 or more, each only once", "%d is missing or a duplicate", r.ID)
		}
		ids[r.ID] = true
	}
	if !ids[c.ID] {
		p.Add("id", "the id of one of the replicas", "no replica has id %d", c.ID)
	}
}

func (c *Control) checkOperators(p *check.Problems) {
	seen := map[string]bool{}
	for i, o := range c.Operators {
		prefix := keyPrefix("operator", i)
		p.Name(prefix+"name", o.Name)
		p.Unique(prefix+"name", o.Name, seen)
		p.SHA256(prefix+"key_sha256", o.KeySHA256)
		for _, r := range o.Roles {
			if r != RoleRead && r != RoleSubmit {
				p.Add(prefix+"roles", "read, submit", "%q is not a role", r)
			}
		}
	}
}
