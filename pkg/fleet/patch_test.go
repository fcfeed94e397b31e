package fleet

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// configurationText returns a configuration of n routes, each of about the size
// of an operator's.
func configurationText(n int, version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		fmt.Fprintf(&b, `{"Name":"r-%x","Host":"notes.example","Prefix":"/group%d/","Timeout":20000,"Goal":500,"Priority":1,"Split":[{"Service":"models","Weight":90},{"Service":"spare","Weight":10}]},`, uint32(i)*2654435761, i*7919%9973)
	}
	b.WriteString("]}")
	return b.Bytes()
}

var _ = Describe("a patch", func() {
	It("yields the next configuration, and is small for a small change", func() {
		base := configurationText(1640, 1)
		next := bytes.Replace(configurationText(1640, 2), []byte(`"Weight":90`), []byte(`"Weight":80`), 1)
		patch, err := MakePatch(base, next)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(patch)).To(BeNumerically("<", 1000))
		got, err := ApplyPatch(base, patch)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, next)).To(BeTrue())
	})

	It("yields the content that it was made for, whatever base and content are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
			next := rapid.SliceOf(rapid.Byte()).Draw(t, "next")
			if rapid.Bool().Draw(t, "like") {
				next = append(append([]byte{}, base...), next...)
			}
			patch, err := MakePatch(base, next)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ApplyPatch(base, patch)
			if err != nil || !bytes.Equal(got, next) {
				t.Fatalf("%v: got %x, want %x", err, got, next)
			}
		})
	})

	It("fails, or yields another digest, if it is applied to another base", func() {
		base, next := configurationText(200, 1), configurationText(200, 2)
		patch, err := MakePatch(base, next)
		Expect(err).NotTo(HaveOccurred())
		got, err := ApplyPatch(configurationText(190, 7), patch)
		Expect(err != nil || ContentDigest(got) != ContentDigest(next)).To(BeTrue())
		_, err = ApplyPatch(base, patch[:len(patch)/2])
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the history of configurations", func() {
	add := func(h *History, version int) {
		packed, err := Pack(configurationText(20, version))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Add(uint64(version), packed)).To(Succeed())
	}

	It("patches from the versions that it holds to the newest only", func() {
		h := NewHistory()
		for v := 1; v <= historySize+2; v++ {
			add(h, 10*v)
		}
		newest := uint64(10 * (historySize + 2))
		cases := []struct {
			base    uint64
			version uint64
			held    bool
		}{
			{base: newest - 10, version: newest, held: true},
			{base: 30, version: newest, held: true},
			{base: 20, version: newest, held: false},
			{base: 0, version: newest, held: false},
			{base: 35, version: newest, held: false},
			{base: newest, version: newest, held: false},
			{base: 30, version: newest - 10, held: false},
			{base: newest, version: newest + 10, held: false},
		}
		for _, c := range cases {
			patch, digest, err := h.Patch(c.base, c.version)
			Expect(err).NotTo(HaveOccurred())
			Expect(patch != nil).To(Equal(c.held), fmt.Sprint(c))
			if c.held {
				got, err := ApplyPatch(configurationText(20, int(c.base)), patch)
				Expect(err).NotTo(HaveOccurred())
				Expect(got).To(Equal(configurationText(20, int(c.version))))
				Expect(ContentDigest(got)).To(Equal(digest))
			}
		}
	})

	It("ignores a configuration that is older than the newest", func() {
		h := NewHistory()
		add(h, 5)
		add(h, 4)
		patch, _, err := h.Patch(4, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(patch).To(BeNil())
		Expect(h.Add(6, []byte("not packed"))).NotTo(Succeed())
		Expect(h.newest()).To(BeEquivalentTo(5))
	})
})

func BenchmarkPatch(b *testing.B) {
	base, next := configurationText(1640, 1), configurationText(1640, 2)
	patch, err := MakePatch(base, next)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = MakePatch(base, next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = ApplyPatch(base, patch)
		}
	})
	b.Run("full", func(b *testing.B) {
		packed, _ := Pack(next)
		b.ReportMetric(float64(len(packed)), "packed")
		b.ReportMetric(float64(len(patch)), "patch")
		for range b.N {
			_, _ = Unpack(packed)
		}
	})
}
