// Package bound computes an upper bound of the requests per second that a set of engines can
// serve, by a linear program over their published cost curves.
//
// It leaves out whatever lowers the rate further: links and their delays, the time that a pass
// waits for its sequences, the hosts' own cost, and that batches aren't always full.
package bound

import (
	"math"
	"sort"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Engine is the cost curve of one engine, which holds the layers from First up to End
// (exclusive). One pass through one layer takes
// LayerUS + SequenceUS*sequences + TokenUS*prefilled tokens, in microseconds.
type Engine struct {
	First      int
	End        int
	LayerUS    float64
	SequenceUS float64
	TokenUS    float64
	Batch      int // most sequences in one pass
}

// Work is the average request.
type Work struct {
	PromptTokens float64
	Tokens       float64
}

// rate returns how many requests per second the engine can serve alone. Each request costs its
// share of full passes, the part of them for its own sequence, and its prefill.
func (e Engine) rate(w Work) float64 {
	layers := float64(e.End - e.First)
	decode := w.Tokens * (e.LayerUS/float64(e.Batch) + e.SequenceUS)
	prefill := w.PromptTokens * e.TokenUS
	return 1e6 / (layers * (decode + prefill))
}

// Requests returns the most requests per second through a model with the given number of
// layers: the maximum flow from layer 0 to the last, where each engine is an edge between the
// boundaries of its layers.
func Requests(layers int, engines []Engine, w Work) (float64, error) {
	boundaries := boundariesOf(layers, engines)
	n := len(engines)
	if n == 0 {
		return 0, nil
	}
	// Variables: a flow and a slack for each engine. Constraints: one for each inner boundary
	// (inflow equals outflow), one for each engine's rate.
	inner := len(boundaries) - 2
	a := mat.NewDense(inner+n, 2*n, nil)
	b := make([]float64, inner+n)
	c := make([]float64, 2*n)
	for i, e := range engines {
		if at := boundaries[e.End]; at > 0 && at <= inner {
			a.Set(at-1, i, a.At(at-1, i)+1)
		}
		if at := boundaries[e.First]; at > 0 && at <= inner {
			a.Set(at-1, i, a.At(at-1, i)-1)
		}
		a.Set(inner+i, i, 1)
		a.Set(inner+i, n+i, 1)
		b[inner+i] = e.rate(w)
		if e.First == 0 {
			c[i] = -1
		}
	}
	low, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		return 0, errors.Wrap(err, "linear program")
	}
	return math.Max(0, -low), nil
}

// boundariesOf numbers the layer boundaries in order, starting from 0.
func boundariesOf(layers int, engines []Engine) map[int]int {
	set := map[int]int{
		0:      0,
		layers: 0,
	}
	for _, e := range engines {
		set[e.First] = 0
		set[e.End] = 0
	}
	list := make([]int, 0, len(set))
	for at := range set {
		list = append(list, at)
	}
	sort.Ints(list)
	for i, at := range list {
		set[at] = i
	}
	return set
}
