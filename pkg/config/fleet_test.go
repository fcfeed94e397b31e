package config_test

import (
	"os"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/config"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleetSettings are the settings of one host, as the deployment's template renders
// them.
const fleetSettings = `host = "entry-a-1"
domain = "a"
ip = "127.0.0.1"
founding = true
data = ""
seeds = [ "127.0.0.1:8229" ]
internal_port = 7340
memory_mb = 184

[listen]
callers = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
directory = "127.0.0.1:8224"
control = "127.0.0.1:8229"

[bounds]
heartbeat = "1200ms"
grace = "8s"
revoke = "5000ms"
strict_revoke = true
directory_keep = "5s"
losses = 2
repeat_ratio = 0.2
repeat_extra = 784
repeat_window = "10s"
`

func readFleet(from, to string) (*config.Fleet, error) {
	Expect(fleetSettings).To(ContainSubstring(from))
	return config.ReadFleet(writeSettings(strings.Replace(fleetSettings, from, to, 1)))
}

var _ = Describe("settings of a fleet's host", func() {
	It("accept fractions as bounds", func() {
		cases := []struct {
			from string
			to   string
			get  func(c *config.Fleet) float64
			want float64
		}{
			{
				from: "repeat_extra = 784",
				to:   "repeat_extra = 52.3",
				get:  func(c *config.Fleet) float64 { return c.Bounds.RetryExtra },
				want: 52.3,
			},
			{
				from: "repeat_extra = 784",
				to:   "repeat_extra = 784",
				get:  func(c *config.Fleet) float64 { return c.Bounds.RetryExtra },
				want: 784,
			},
			{
				from: "repeat_ratio = 0.2",
				to:   "repeat_ratio = 1",
				get:  func(c *config.Fleet) float64 { return c.Bounds.RetryRatio },
				want: 1,
			},
			{
				from: "memory_mb = 184",
				to:   "memory_mb = 92.5",
				get:  func(c *config.Fleet) float64 { return c.MemoryMB },
				want: 92.5,
			},
			{
				from: `heartbeat = "1200ms"`,
				to:   `heartbeat = "1200.5ms"`,
				get:  func(c *config.Fleet) float64 { return c.Bounds.Heartbeat.Or(0).Seconds() },
				want: 1.2005,
			},
			{
				from: `grace = "8s"`,
				to:   `grace = "7.5s"`,
				get:  func(c *config.Fleet) float64 { return c.Bounds.Grace.Or(0).Seconds() },
				want: 7.5,
			},
			{
				from: `directory_keep = "5s"`,
				to:   `directory_keep = "2.5s"`,
				get:  func(c *config.Fleet) float64 { return c.Bounds.DirectoryMaxAge.Or(0).Seconds() },
				want: 2.5,
			},
		}
		for _, c := range cases {
			cfg, err := readFleet(c.from, c.to)
			Expect(err).NotTo(HaveOccurred(), c.to)
			Expect(c.get(cfg)).To(BeNumerically("~", c.want, 1e-9), c.to)
		}
	})

	It("reject bounds that are negative or out of range, and name them", func() {
		cases := []struct {
			from      string
			to        string
			wantError string
		}{
			{from: "memory_mb = 184", to: "memory_mb = -1", wantError: "memory_mb: -1 is negative"},
			{from: "repeat_ratio = 0.2", to: "repeat_ratio = -0.2", wantError: "bounds.repeat_ratio: -0.2 is negative"},
			{from: "repeat_extra = 784", to: "repeat_extra = -7.5", wantError: "bounds.repeat_extra: -7.5 is negative"},
			{from: "losses = 2", to: "losses = 9", wantError: "bounds.losses"},
			{from: `heartbeat = "1200ms"`, to: `heartbeat = "0ms"`, wantError: "bounds.heartbeat"},
		}
		for _, c := range cases {
			_, err := readFleet(c.from, c.to)
			Expect(err).To(MatchError(ContainSubstring(c.wantError)))
		}
	})

	It("have only keys that the deployment's template has", func() {
		text, err := os.ReadFile("../../deploy/fleet.toml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(fleetSettings, "\n") {
			if key, _, ok := strings.Cut(line, " = "); ok {
				Expect(string(text)).To(ContainSubstring(key+" = "), key)
			}
		}
	})
})
