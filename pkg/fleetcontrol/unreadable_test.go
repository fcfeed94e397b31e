package fleetcontrol

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Another program sent each control host one heartbeat whose id held the byte 0xff. The leader kept
// it, and from then on could encode no answer to any entry host: a configuration that was
// acknowledged came into force nowhere, and hosts refused every request once the confirmation of
// their account keys had expired. Errors of twirp's encoder in the hosts' logs showed it.
var _ = Describe("an announcement that can't be encoded", func() {
	unreadable := []struct {
		name   string
		change func(e *fleet.Endpoint)
	}{
		{"an id that isn't UTF-8", func(e *fleet.Endpoint) { e.ID = "i-\xff" }},
		{"an id with a control character", func(e *fleet.Endpoint) { e.ID = "i-\r\nX: y" }},
		{"a long id", func(e *fleet.Endpoint) { e.ID = strings.Repeat("i", 1<<20) }},
		{"no id", func(e *fleet.Endpoint) { e.ID = "" }},
		{"a service that isn't UTF-8", func(e *fleet.Endpoint) { e.Service = "s\xc3" }},
		{"a failure domain that isn't UTF-8", func(e *fleet.Endpoint) { e.Domain = "\xfe" }},
		{"a model that isn't UTF-8", func(e *fleet.Endpoint) { e.Model = "m\x80" }},
		{"an accelerator that isn't UTF-8", func(e *fleet.Endpoint) { e.Kind = "\xf0\x28" }},
		{"a long service", func(e *fleet.Endpoint) { e.Service = strings.Repeat("s", 60000) }},
		{"slots out of range", func(e *fleet.Endpoint) { e.Slots = 1 << 40 }},
	}

	// Guards against one heartbeat of another program that keeps configurations and endpoints from
	// every host.
	It("is rejected, and hosts go on getting configurations and endpoints", func() {
		withCluster(func(c *cluster) {
			ip := c.leader()
			lead := c.hosts[ip].server
			for _, u := range unreadable {
				for _, one := range c.ips {
					e := announcement(false, 1)
					u.change(&e)
					invalid := &fleet.AnnouncementError{}
					Expect(c.hosts[one].server.Announce(context.Background(), e)).To(BeAssignableToTypeOf(invalid), u.name)
					if fleet.ValidateID(e.ID) != nil {
						Expect(c.hosts[one].server.Deregister(context.Background(), e.ID)).To(BeAssignableToTypeOf(invalid), u.name)
					}
				}
			}
			Expect(lead.Announce(context.Background(), announcement(false, 1))).To(Succeed())
			c.replaceConfig(ip, document(3, "a"))
			client := rpc.NewFleetProtobufClient("http://"+lead.replica.address(), &http.Client{})
			var reply *rpc.SyncReply
			Eventually(func() error {
				var err error
				reply, err = client.Sync(context.Background(), &rpc.SyncRequest{
					Host:   &rpc.FleetHost{Name: "h"},
					WaitMs: 50,
				})
				return err
			}, "3s", "50ms").Should(Succeed())
			Expect(reply.GetConfirmed()).To(BeTrue())
			Expect(reply.GetDocument().GetVersion()).To(BeEquivalentTo(3))
			Expect(c.knownEndpoints(ip)()).To(HaveLen(1))
		})
	})

	It("doesn't keep a leave in the same batch from other replicas", func() {
		withCluster(func(c *cluster) {
			lead := c.hosts[c.leader()].server
			bad := announcement(false, 1)
			bad.ID = "i-\xff"
			done := make(chan error, 1)
			background(func() { done <- lead.Announce(context.Background(), announcement(true, 2)) })
			Expect(lead.Announce(context.Background(), bad)).NotTo(Succeed())
			Eventually(done, 2*time.Second).Should(Receive(BeNil()))
			for _, ip := range c.ips {
				Expect(c.knownEndpoints(ip)()).To(HaveLen(1))
			}
		})
	})
})
