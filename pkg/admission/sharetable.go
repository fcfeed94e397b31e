package admission

import (
	"math"
)

const (
	// tableCells is the number of cells of a table, at half a byte each on the wire.
	tableCells = 440
	// maxLevel is the highest level of a share on the wire. Level n is a share of 2^(-n/2).
	maxLevel = 15
	// levelSteps is the number of bisections by which the tokens of an account are found.
	levelSteps = 40
)

// ShareTable holds the shares of client accounts that are too many to be listed. Each account
// has two cells and the larger share of both. A cell holds the least share of the accounts that
// have to be limited, so that an account which asks for little gets less than all only if both
// of its cells are shared with such ones. Other accounts share cells with each allocation.
//
// Invariant: it has at least one cell.
type ShareTable struct {
	Seed   uint32 // decides which accounts share a cell
	Shares []float64
}

// newShareTable returns the table by which accounts get tokens in sum, and as nearly as
// possible the same number each, or all that they ask for. Rest is the share of cells without
// accounts.
func newShareTable(seed uint32, accounts []accountDemand, tokens, rest float64) *ShareTable {
	t := &ShareTable{
		Seed:   seed,
		Shares: make([]float64, tableCells),
	}
	cells := make([][2]int, len(accounts))
	low, high := 0.0, 0.0
	for i, a := range accounts {
		cells[i] = t.cells(a.account)
		high = max(high, a.tokens)
	}
	for range levelSteps {
		level := (low + high) / 2
		if t.fill(accounts, cells, level, rest) < tokens {
			low = level
		} else {
			high = level
		}
	}
	return t
}

// fill sets the shares such that no account gets more than level tokens, unless it asks for
// less, and returns what all get.
func (t *ShareTable) fill(accounts []accountDemand, cells [][2]int, level, rest float64) float64 {
	known := make([]bool, len(t.Shares))
	for i := range t.Shares {
		t.Shares[i] = rest
	}
	for i, a := range accounts {
		for _, c := range cells[i] {
			if !known[c] {
				known[c], t.Shares[c] = true, 1
			}
			t.Shares[c] = min(t.Shares[c], level/a.tokens)
		}
	}
	sum := 0.0
	for i, a := range accounts {
		sum += a.tokens * max(t.Shares[cells[i][0]], t.Shares[cells[i][1]])
	}
	return sum
}

// share returns the share of an account.
func (t *ShareTable) share(account uint32) float64 {
	c := t.cells(account)
	return max(t.Shares[c[0]], t.Shares[c[1]])
}

// cells returns the numbers of an account's cells. Hosts and the leader must agree on them.
func (t *ShareTable) cells(account uint32) [2]int {
	n := uint32(len(t.Shares))
	first := mix(account ^ mix(t.Seed))
	return [2]int{int(first % n), int(mix(first) % n)}
}

// mix spreads the differences of keys over all bits, as the last step of MurmurHash3 does.
func mix(v uint32) uint32 {
	v ^= v >> 16
	v *= 0x85ebca6b
	v ^= v >> 13
	v *= 0xc2b2ae35
	return v ^ v>>16
}

// levels returns the share of each cell as a level, two in a byte. A share between two levels
// becomes either, such that over all seeds the mean is right.
func (t *ShareTable) levels() []byte {
	out := make([]byte, (len(t.Shares)+1)/2)
	for i, share := range t.Shares {
		p := float64(mix(t.Seed+uint32(i))) / (1 << 32)
		out[i/2] |= shareLevel(share, p) << (4 * (i % 2))
	}
	return out
}

// shareLevel returns one of the two levels next to a share, the upper one if p, from 0 to 1,
// is large. The lowest share is above 0, so that no account is refused altogether.
func shareLevel(share, p float64) byte {
	if !(share < 1) {
		return 0
	}
	n := math.Floor(-2 * math.Log2(max(share, levelShare(maxLevel))))
	above, below := levelShare(byte(n)), levelShare(byte(n)+1)
	if n < maxLevel && p*(above-below) < above-share {
		n++
	}
	return byte(n)
}

func levelShare(level byte) float64 {
	return math.Exp2(-float64(level) / 2)
}

// tableOfLevels returns the table that was encoded by levels, or nil if that has no cells or
// too many.
func tableOfLevels(seed uint32, levels []byte) *ShareTable {
	if len(levels) == 0 || len(levels) > maxWireLevels {
		return nil
	}
	t := &ShareTable{
		Seed:   seed,
		Shares: make([]float64, 2*len(levels)),
	}
	for i := range t.Shares {
		t.Shares[i] = levelShare(levels[i/2] >> (4 * (i % 2)) & maxLevel)
	}
	return t
}
