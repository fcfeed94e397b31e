package control

import (
	"github.com/larchwinch/larchwinch/pkg/api"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the progress of a rollout", func() {
	// Guards against a rollout that never ends because a host was taken away meanwhile.
	It("counts the hosts that are present", func() {
		r := rolloutOf(7, []api.HostView{
			{Host: "a", Domain: "d1", Revision: 7, AgeMS: 100},
			{Host: "b", Domain: "d1", Revision: 6, AgeMS: hostGoneAfter.Milliseconds() + 1},
			{Host: "c", Domain: "d2", Revision: 5, AgeMS: hostGoneAfter.Milliseconds()},
			{Host: "d", Domain: "d3", Revision: 5, AgeMS: 60_000},
		})
		Expect(r.Hosts).To(Equal(2))
		Expect(r.ActiveHosts).To(Equal(1))
		Expect(r.Domains).To(Equal([]api.DomainView{
			{Domain: "d1", Hosts: 1, ActiveHosts: 1, LowestRevision: 7},
			{Domain: "d2", Hosts: 1, LowestRevision: 5},
		}))
	})
})
