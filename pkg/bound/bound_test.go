package bound_test

import (
	"testing"

	"github.com/larchwinch/larchwinch/pkg/bound"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bound")
}

// engine serves 100/layers requests a second of the work below.
func engine(first, end int) bound.Engine {
	return bound.Engine{
		First:      first,
		End:        end,
		LayerUS:    500,
		SequenceUS: 50,
		TokenUS:    10,
		Batch:      10,
	}
}

var _ = Describe("Requests", func() {
	work := bound.Work{
		PromptTokens: 100,
		Tokens:       90,
	}
	cases := []struct {
		name    string
		layers  int
		engines []bound.Engine
		want    float64
	}{
		{name: "one engine", layers: 4, engines: []bound.Engine{engine(0, 4)}, want: 25},
		{name: "two in parallel", layers: 4, engines: []bound.Engine{engine(0, 4), engine(0, 4)}, want: 50},
		{name: "two in sequence, limited by the one with more layers", layers: 4, engines: []bound.Engine{engine(0, 1), engine(1, 4)}, want: 100.0 / 3},
		{name: "layers split at different boundaries", layers: 4, engines: []bound.Engine{engine(0, 2), engine(2, 4), engine(0, 1), engine(1, 4)}, want: 50 + 100.0/3},
		{name: "a layer that no engine holds", layers: 4, engines: []bound.Engine{engine(0, 3)}, want: 0},
		{name: "no engines", layers: 4, want: 0},
	}
	for _, c := range cases {
		It(c.name, func() {
			got, err := bound.Requests(c.layers, c.engines, work)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(BeNumerically("~", c.want, 1e-6))
		})
	}
})
