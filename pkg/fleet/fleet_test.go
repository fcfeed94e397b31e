package fleet

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var _ = Describe("routes", func() {
	cfg := &Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "H.example", Prefix: "/a/"},
			{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		},
		Accounts: []Account{{Name: "t", Keys: []string{"k"}}},
	}
	x := NewIndex(cfg)

	It("are found by host and longest prefix", func() {
		for _, c := range []struct {
			host, path, name string
		}{
			{"h.example", "/a/x", "short"},
			{"h.example", "/a/b/x", "long"},
			{"h.example:80", "/a/b/", "long"},
			{"H.EXAMPLE", "/a/bb", "short"},
			{"h.example", "/b/a/", ""},
			{"other", "/a/", ""},
			{"h.example", "/a", ""},
		} {
			name := ""
			if r := x.Route(c.host, c.path); r != nil {
				name = r.Name
			}
			Expect(name).To(Equal(c.name), c.host+c.path)
		}
	})

	It("distribute their requests by weight", func() {
		r := &Route{Split: []Share{{Service: "a", Weight: 90}, {Service: "z", Weight: 0}, {Service: "b", Weight: 10}}}
		Expect(r.Pick(0)).To(Equal("a"))
		Expect(r.Pick(0.899)).To(Equal("a"))
		Expect(r.Pick(0.91)).To(Equal("b"))
		Expect(r.Pick(0.9999999)).To(Equal("b"))
	})
})

var _ = Describe("a packed configuration", func() {
	It("unpacks to the same bytes, and is less than a tenth of the size with many routes", func() {
		text := []byte(strings.Repeat(`{"name":"r","host":"h.example","path_prefix":"/x/","timeout_ms":20000},`, 1480))
		packed, err := Pack(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", len(text)/10))
		unpacked, err := Unpack(packed)
		Expect(err).NotTo(HaveOccurred())
		Expect(unpacked).To(Equal(text))
		_, err = Unpack(packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})

	// Guards against a configuration that is cut and taken for a whole one.
	It("isn't unpacked if it is too large", func() {
		for _, c := range []struct {
			size int
			ok   bool
		}{{maxUnpackedBytes, true}, {maxUnpackedBytes + 1, false}} {
			packed, err := Pack(make([]byte, c.size))
			Expect(err).NotTo(HaveOccurred())
			content, err := Unpack(packed)
			Expect(err == nil).To(Equal(c.ok))
			if c.ok {
				Expect(len(content)).To(Equal(c.size))
			}
		}
	})
})

var _ = Describe("an endpoint on the wire", func() {
	It("decodes to what was encoded, with its age", func() {
		now := time.Unix(1000, 0)
		e := Endpoint{ID: "i", Service: "s", Address: "a:1", Domain: "d", Slots: 3, Leaving: true, Sequence: 9, Kind: "k",
			Model: "m", Layers: Range{From: 2, To: 5}, Loading: true, Silent: true, Slowdown: 2.5, LastHeartbeat: now.Add(-time.Second)}
		Expect(EndpointFromWire(e.ToWire(now), now)).To(Equal(e))
	})
})
