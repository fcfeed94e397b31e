package state

import (
	"fmt"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func depart(m *Machine, unixMs int64, list ...*rpc.Departure) {
	data, err := proto.Marshal(&rpc.Command{
		UnixMs: unixMs,
		Kind:   &rpc.Command_Departures{Departures: &rpc.Departures{List: list}},
	})
	Expect(err).NotTo(HaveOccurred())
	_, err = m.Apply(data)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("departures", func() {
	It("are recorded once, and that a leaving endpoint is gone is news", func() {
		m := New(1000)
		steps := []struct {
			id   string
			gone bool
			news bool
		}{
			{id: "a", news: true},
			{id: "a", news: false},
			{id: "b", gone: true, news: true},
			{id: "a", gone: true, news: true},
			{id: "a", gone: true, news: false},
			{id: "b", news: false},
		}
		for n, s := range steps {
			changed, before := m.Changed(), m.DeparturesVersion()
			depart(m, int64(1000+n), &rpc.Departure{Endpoint: s.id, Gone: s.gone})
			Expect(m.DeparturesVersion() != before).To(Equal(s.news))
			if s.news {
				Expect(changed).To(BeClosed())
			}
			Expect(m.HasDeparture(s.id, s.gone)).To(BeTrue())
		}
		list, _ := m.Departures()
		Expect(list).To(Equal([]Departure{{ID: "a", Gone: true, AtMS: 1000}, {ID: "b", Gone: true, AtMS: 1002}}))
		Expect(m.HasDeparture("c", false)).To(BeFalse())
	})

	It("are part of the snapshot, and change their version when restored", func() {
		m := New(1000)
		depart(m, 5000, &rpc.Departure{Endpoint: "a@1"}, &rpc.Departure{Endpoint: "b@2", Gone: true})
		text, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := New(1000)
		before := other.DeparturesVersion()
		Expect(other.Restore(text)).To(Succeed())
		want, _ := m.Departures()
		got, version := other.Departures()
		Expect(got).To(Equal(want))
		Expect(version).NotTo(Equal(before))
		Expect(other.HasDeparture("a@1", true)).To(BeFalse())
		again, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(text))
		Expect(other.Restore(nil)).To(Succeed())
		Expect(other.HasDeparture("b@2", false)).To(BeFalse())
	})

	It("are bounded, and the oldest are dropped first", func() {
		m := New(1000)
		for n := range maxDepartures + 2 {
			depart(m, 1000, &rpc.Departure{Endpoint: fmt.Sprintf("e%d", n)})
		}
		list, _ := m.Departures()
		Expect(list).To(HaveLen(maxDepartures))
		Expect(list[0].ID).To(Equal("e2"))
		Expect(m.HasDeparture("e1", false)).To(BeFalse())
	})
})
