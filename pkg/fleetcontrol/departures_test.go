package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A server deregistered, and a control host acknowledged that. Half a second later all processes of the
// core were killed, and came back with their disks. A heartbeat that the server had sent before then arrived
// late at another host, and it got requests again. A leave was acknowledged once a majority of the replicas
// held it in memory; nothing on their disks named it.
var _ = Describe("a leave that was acknowledged", func() {
	e := fleet.Endpoint{
		ID:        fleet.IncarnationID("e1", 1000),
		StartedAt: 1000,
		Service:   "s",
		Address:   "127.0.2.1:80",
		Sequence:  10,
	}
	leaves := []struct {
		name  string
		leave func(s *Server) error
	}{
		{"draining", func(s *Server) error {
			leaving := e
			leaving.Leaving = true
			leaving.Sequence = 12
			return s.Announce(context.Background(), leaving)
		}},
		{"deregistered", func(s *Server) error { return s.Deregister(context.Background(), e.ID) }},
		{"deregistered without a start time", func(s *Server) error { return s.Deregister(context.Background(), "e1") }},
	}
	// listed reports whether a leader, whoever it is, has a usable endpoint.
	listed := func(c *cluster) bool {
		for _, one := range c.hosts[c.leader()].server.table.All() {
			if one.Usable() {
				return true
			}
		}
		return false
	}
	announce := func(c *cluster, ip string, sequence uint64) {
		late := e
		late.Sequence = sequence
		Expect(c.hosts[ip].server.Announce(context.Background(), late)).To(Succeed())
	}
	leave := func(c *cluster, by string, f func(s *Server) error) {
		announce(c, by, 11)
		Eventually(c.knownEndpoints(c.leader()), "5s", "10ms").Should(HaveLen(1))
		Eventually(func() error { return f(c.hosts[by].server) }, "5s", "50ms").Should(Succeed())
	}

	for _, l := range leaves {
		// Guards against acknowledged leaves that a kill of all control hosts forgets.
		It("outlives a stop of all control hosts, whoever gets a late heartbeat: "+l.name, func() {
			withCluster(func(c *cluster) {
				leave(c, c.otherHost(c.leader()), l.leave)
				for _, ip := range c.ips {
					c.stop(ip)
				}
				for _, ip := range c.ips {
					c.start(ip, true)
				}
				c.leader()
				for _, ip := range c.ips {
					announce(c, ip, 10)
				}
				Consistently(func() bool { return listed(c) }, 2*propagateInterval, "20ms").Should(BeFalse())
			})
		})

		It("is known to a later leader that nobody told: "+l.name, func() {
			withCluster(func(c *cluster) {
				lead := c.leader()
				absent := c.otherHost(lead)
				c.stop(absent)
				Eventually(func() error {
					announce(c, lead, 11)
					return l.leave(c.hosts[lead].server)
				}, "5s", "50ms").Should(Succeed())
				for _, ip := range c.ips {
					if ip != absent {
						c.stop(ip)
					}
				}
				c.start(absent, true)
				announce(c, absent, 10) // before it knows the log
				for _, ip := range c.ips {
					if ip != absent {
						c.start(ip, true)
					}
				}
				Eventually(func() bool { return listed(c) }, "10s", "20ms").Should(BeFalse())
				Consistently(func() bool { return listed(c) }, 2*propagateInterval, "20ms").Should(BeFalse())
			})
		})
	}

	It("is recorded by the leader once, whoever is told, and by a later start of the endpoint not at all", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			for range 3 {
				for _, ip := range c.ips {
					leave(c, ip, leaves[0].leave)
				}
			}
			_, machine := c.hosts[lead].server.replica.current()
			list, _ := machine.Departures()
			Expect(list).To(HaveLen(1))
			Expect(list[0].ID).To(Equal(e.ID))
			next := e
			next.ID, next.StartedAt = fleet.IncarnationID("e1", 2000), 2000
			Expect(c.hosts[lead].server.Announce(context.Background(), next)).To(Succeed())
			Expect(listed(c)).To(BeTrue())
		})
	})

	It("is acknowledged beside a leader of a build that records none", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			h := c.hosts[lead]
			Expect(h.http.Close()).To(Succeed())
			l, err := net.Listen("tcp", h.server.replica.address())
			Expect(err).NotTo(HaveOccurred())
			known := Forwarded(h.server.RPC())
			h.http = &http.Server{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.HasSuffix(r.URL.Path, "/Depart") {
						r.URL.Path += "Unknown"
					}
					known.ServeHTTP(w, r)
				}),
			}
			background(func() { _ = h.http.Serve(l) }) // ends with Close
			Eventually(func() error {
				return leaves[0].leave(c.hosts[c.otherHost(lead)].server)
			}, 5*time.Second, 50*time.Millisecond).Should(Succeed())
			if c.leader() == lead {
				_, machine := h.server.replica.current()
				list, _ := machine.Departures()
				Expect(list).To(BeEmpty())
			}
		})
	})
})
