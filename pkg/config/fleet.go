package config

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/check"
)

// Fleet is the settings of a host of a deployment whose operator submits full
// configurations and whose endpoints register themselves by heartbeats. The
// control and the entry role read the same file.
type Fleet struct {
	Host   string `toml:"host"`
	Domain string `toml:"domain"`
	IP     string `toml:"ip"`
	// FirstStart is set at the first start of the whole system, on empty disks.
	FirstStart bool `toml:"founding"`
	// Data is the directory of a control host's replica. If it is empty, the
	// control host has no replica and forwards the calls that it receives.
	Data string `toml:"data"`
	// Seeds are the control hosts to contact first; only their IP addresses are
	// used.
	Seeds []string `toml:"seeds"`
	// InternalPort is the first of the two ports for internal calls.
	InternalPort int         `toml:"internal_port"`
	MemoryMB     float64     `toml:"memory_mb"`
	Listen       FleetListen `toml:"listen"`
	Bounds       FleetBounds `toml:"bounds"`
}

// FleetListen is the addresses that a host listens on; a role needs only its own.
type FleetListen struct {
	Callers   string `toml:"callers"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	Control   string `toml:"control"`
}

// FleetBounds are the times and limits that the deployment guarantees.
type FleetBounds struct {
	Heartbeat    Duration `toml:"heartbeat"`
	Grace        Duration `toml:"grace"`
	Revoke       Duration `toml:"revoke"`
	StrictRevoke bool     `toml:"strict_revoke"`
	// DirectoryMaxAge is the longest time that callers cache the directory's answers.
	DirectoryMaxAge Duration `toml:"directory_keep"`
	// ToleratedLosses is how many disks may be lost at once.
	ToleratedLosses int     `toml:"losses"`
	RetryRatio      float64 `toml:"repeat_ratio"`
	// RetryExtra is how many retries are allowed in a window beyond the ratio. It
	// may be a fraction.
	RetryExtra  float64  `toml:"repeat_extra"`
	RetryWindow Duration `toml:"repeat_window"`
}

const (
	maxPort           = 65535
	controlPortOffset = 0
	relayPortOffset   = 1
	maxLosses         = 4
)

// ReadFleet reads and validates the settings of a host. What only one role needs is
// left to CheckControl and CheckEntry.
func ReadFleet(file string) (*Fleet, error) {
	p := check.New(file)
	c := &Fleet{}
	if !decodeFile(file, c, p) {
		return nil, p.Err()
	}
	c.check(p)
	return c, p.Err()
}

func (c *Fleet) check(p *check.Problems) {
	p.Name("host", c.Host)
	p.Name("domain", c.Domain)
	if _, err := netip.ParseAddr(c.IP); err != nil {
		p.Add("ip", "an IP number", "%q is not an IP number", c.IP)
	}
	p.Range("internal_port", c.InternalPort, 1, maxPort-relayPortOffset)
	p.Range("bounds.losses", c.Bounds.ToleratedLosses, 0, maxLosses)
	for _, n := range []struct {
		key   string
		value float64
	}{
		{key: "memory_mb", value: c.MemoryMB},
		{key: "bounds.repeat_ratio", value: c.Bounds.RetryRatio},
		{key: "bounds.repeat_extra", value: c.Bounds.RetryExtra},
	} {
		if n.value < 0 {
			p.Add(n.key, "0 or more", "%v is negative", n.value)
		}
	}
	for i, s := range c.Seeds {
		p.Address(keyPrefix("seeds", i), s)
	}
	if len(c.Seeds) == 0 {
		p.Add("seeds", "at least one address of a control host", "missing")
	}
	if c.Bounds.Heartbeat.Or(0) <= 0 {
		p.Add("bounds.heartbeat", "a duration above 0", "missing")
	}
	if c.Bounds.Grace.Or(0) < time.Second {
		p.Add("bounds.grace", "1s or more", "too short to finish requests in flight")
	}
}

// CheckControl validates the settings that only the control role needs.
func (c *Fleet) CheckControl() error {
	p := check.New("settings for the control role")
	p.Address("listen.control", c.Listen.Control)
	return p.Err()
}

// CheckEntry validates the settings that only the entry role needs.
func (c *Fleet) CheckEntry() error {
	p := check.New("settings for the entry role")
	p.Address("listen.callers", c.Listen.Callers)
	p.Address("listen.ready", c.Listen.Ready)
	p.Address("listen.directory", c.Listen.Directory)
	return p.Err()
}

// ControlPort returns the port for internal calls to control hosts. It is the same
// on every host.
func (c *Fleet) ControlPort() string {
	return strconv.Itoa(c.InternalPort + controlPortOffset)
}

// RelayPort returns the port at which entry hosts take each other's requests. It is the
// same on every host.
func (c *Fleet) RelayPort() string {
	return strconv.Itoa(c.InternalPort + relayPortOffset)
}

// SeedIPs returns the IP addresses of the seeds.
func (c *Fleet) SeedIPs() []string {
	list := make([]string, 0, len(c.Seeds))
	for _, s := range c.Seeds {
		if ip, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, ip)
		}
	}
	return list
}

// SeedAddresses returns the addresses of the seeds for internal calls.
func (c *Fleet) SeedAddresses() []string {
	ips := c.SeedIPs()
	list := make([]string, 0, len(ips))
	for _, ip := range ips {
		list = append(list, net.JoinHostPort(ip, c.ControlPort()))
	}
	return list
}

// MaxRevocationDelay returns for how long a revoked key may still be accepted; 0 if that
// isn't bounded.
func (b *FleetBounds) MaxRevocationDelay() time.Duration {
	if !b.StrictRevoke {
		return 0
	}
	return b.Revoke.Or(0)
}
