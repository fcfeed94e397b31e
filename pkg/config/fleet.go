package config

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/check"
)

// Fleet is the settings of a host of a deployment whose operator sends whole
// configurations and whose endpoints announce themselves. Both roles read the
// same file.
type Fleet struct {
	Host   string `toml:"host"`
	Domain string `toml:"domain"`
	IP     string `toml:"ip"`
	// Founding is set at the first start of the whole system, on empty disks.
	Founding bool `toml:"founding"`
	// Data is the folder of a control host's replica; without one it holds
	// none and passes on what it is sent.
	Data string `toml:"data"`
	// Seeds are control hosts to begin with; only their IP numbers are used.
	Seeds []string `toml:"seeds"`
	// InternalPort is the first of the ports for the system's own calls.
	InternalPort int         `toml:"internal_port"`
	MemoryMB     float64     `toml:"memory_mb"`
	Listen       FleetListen `toml:"listen"`
	Bounds       FleetBounds `toml:"bounds"`
}

// FleetListen is the addresses that a host serves; a role needs its own only.
type FleetListen struct {
	Callers   string `toml:"callers"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	Control   string `toml:"control"`
}

// FleetBounds are the times and limits that the deployment promises.
type FleetBounds struct {
	Heartbeat    Duration `toml:"heartbeat"`
	Grace        Duration `toml:"grace"`
	Revoke       Duration `toml:"revoke"`
	StrictRevoke bool     `toml:"strict_revoke"`
	// DirectoryKeep is the longest that callers keep an answer.
	DirectoryKeep Duration `toml:"directory_keep"`
	// Losses is how many disks may be lost at once.
	Losses      int     `toml:"losses"`
	RepeatRatio float64 `toml:"repeat_ratio"`
	// RepeatExtra is repeats in a window beyond the ratio; a deployment may give
	// a fraction.
	RepeatExtra  float64  `toml:"repeat_extra"`
	RepeatWindow Duration `toml:"repeat_window"`
}

const (
	maxPort           = 65535
	controlPortOffset = 0
	maxLosses         = 4
)

// ReadFleet reads and checks the settings of a host.
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
		p.Add("ip", "an IP number", "%q is none", c.IP)
	}
	p.Range("internal_port", c.InternalPort, 1, maxPort)
	p.Range("bounds.losses", c.Bounds.Losses, 0, maxLosses)
	for _, n := range []struct {
		key   string
		value float64
	}{
		{key: "memory_mb", value: c.MemoryMB},
		{key: "bounds.repeat_ratio", value: c.Bounds.RepeatRatio},
		{key: "bounds.repeat_extra", value: c.Bounds.RepeatExtra},
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
		p.Add("bounds.grace", "1s or more", "too short to answer what is under way")
	}
}

// CheckControl notes what the control role lacks.
func (c *Fleet) CheckControl() error {
	p := check.New("settings for the control role")
	p.Address("listen.control", c.Listen.Control)
	return p.Err()
}

// CheckEntry notes what the entry role lacks.
func (c *Fleet) CheckEntry() error {
	p := check.New("settings for the entry role")
	p.Address("listen.callers", c.Listen.Callers)
	p.Address("listen.ready", c.Listen.Ready)
	p.Address("listen.directory", c.Listen.Directory)
	return p.Err()
}

// ControlPort is the port of the system's own calls to control hosts; it is
// the same on every host.
func (c *Fleet) ControlPort() string {
	return strconv.Itoa(c.InternalPort + controlPortOffset)
}

// SeedIPs returns the IP numbers of the seeds.
func (c *Fleet) SeedIPs() []string {
	list := make([]string, 0, len(c.Seeds))
	for _, s := range c.Seeds {
		if ip, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, ip)
		}
	}
	return list
}

// SeedAddresses returns the addresses of the seeds for the system's own calls.
func (c *Fleet) SeedAddresses() []string {
	ips := c.SeedIPs()
	list := make([]string, 0, len(ips))
	for _, ip := range ips {
		list = append(list, net.JoinHostPort(ip, c.ControlPort()))
	}
	return list
}

// RevokeBound returns how long a key that was taken away may serve; 0 if that
// isn't bounded.
func (b *FleetBounds) RevokeBound() time.Duration {
	if !b.StrictRevoke {
		return 0
	}
	return b.Revoke.Or(0)
}
