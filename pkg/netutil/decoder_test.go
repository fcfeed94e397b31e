package netutil

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// repeated reads the same text without end, and counts what is read.
type repeated struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

var _ = Describe("a decoder of JSON values", func() {
	// Guards against a value without end that fills the memory.
	It("fails at a value that doesn't end", func() {
		for _, one := range []struct {
			begin, more string
		}{
			{`"`, "x"},
			{`[`, "1,"},
			{`{"a":"`, "x"},
			{"", " "},
		} {
			endless := &repeated{text: one.more}
			v := any(nil)
			Expect(NewDecoder(io.MultiReader(strings.NewReader(one.begin), endless)).Decode(&v)).To(MatchError(errValueTooLong))
			Expect(endless.read).To(BeNumerically("<=", maxValueBytes), one.begin)
		}
	})

	It("decodes any number of values, each up to the limit", func() {
		value := `"` + strings.Repeat("x", maxValueBytes-100) + `"` + "\n"
		d := NewDecoder(strings.NewReader(strings.Repeat(value, 5)))
		for range 5 {
			v := ""
			Expect(d.Decode(&v)).To(Succeed())
			Expect(v).To(HaveLen(maxValueBytes - 100))
		}
		v := ""
		Expect(d.Decode(&v)).To(MatchError(io.EOF))
	})
})
