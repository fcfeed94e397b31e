// Package permit keeps what all hosts together send to endpoints within the limits that
// these name. The leader lends permits, each for one call to one endpoint, and lends no
// more than the endpoint takes, whichever host asks; a host calls an endpoint that has a
// limit only by a permit. A host that hears nothing has none, and what it held is over
// after a second: nothing need be known of it to lend to others.
package permit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Valid is how long a permit may be used after it was lent. Shorter than the time between
// two calls of a host, most would be over unused; longer, more are out at once that may
// all be used in one moment.
const Valid = time.Second

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Key names an endpoint, whichever start of it is there: one that is in need may still be
// after a start, and names no limit then if it isn't.
func Key(id string) uint32 {
	own, _ := fleet.SplitIncarnation(id)
	return fleet.LoadKey(own)
}

// digestOf returns what an endpoint that has a limit adds to the digest of all that do.
func digestOf(key uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, key))
}

// Word is what an answer told of an endpoint's limit.
type Word struct {
	Key     uint32
	Service string
	// PerSecond is the limit; below 0: the answer named none.
	PerSecond float64
	// Sent is when the call was sent that was answered, and Heard when the answer came:
	// the endpoint said it at some time between.
	Sent  time.Time
	Heard time.Time
}

// names reports whether the answer named a limit.
func (w *Word) names() bool {
	return w.PerSecond >= 0
}

// Change is an endpoint that has a limit now, or has none any more.
type Change struct {
	Key       uint32
	Service   string
	PerSecond float64 // as it was when it was named
	Over      bool
}

// Table counts permits, or calls, by endpoint.
type Table map[uint32]int

// Sum returns how many permits there are.
func (t Table) Sum() int {
	sum := 0
	for _, n := range t {
		sum += n
	}
	return sum
}
