package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// LoadKey is how loads name an endpoint: four bytes of its id's hash. Of 3,200
// endpoints two share a key once in 800 sets; their loads are then told as one,
// which only makes both look busier.
func LoadKey(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// EndpointsDigest is a number that two sets of endpoints share if a host which
// holds one needs nothing of the other: it covers the usable endpoints and what
// heartbeats and answers tell of them, but not when. The order doesn't matter.
func EndpointsDigest(list []Endpoint) uint64 {
	sum := uint64(0)
	buf := make([]byte, 0, 128)
	for i := range list {
		if list[i].Usable() {
			buf = list[i].appendState(buf[:0])
			sum += xxhash.Sum64(buf)
		}
	}
	return sum
}

// appendState appends what others must be told of an endpoint.
func (e *Endpoint) appendState(b []byte) []byte {
	for _, s := range [...]string{e.ID, e.Service, e.Address, e.Domain, e.Kind, e.Model} {
		b = append(b, s...)
		b = append(b, 0)
	}
	for _, n := range [...]int{e.Slots, e.Layers.From, e.Layers.To} {
		b = strconv.AppendInt(b, int64(n), 10)
		b = append(b, ' ')
	}
	b = strconv.AppendBool(b, e.Loading)
	b = strconv.AppendBool(b, e.Silent)
	return strconv.AppendFloat(b, e.Slowdown, 'g', -1, 64)
}

// AddressesDigest is a number that two lists of addresses share if they are the
// same; an empty list has 0.
func AddressesDigest(list []string) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, a := range list {
		_, _ = d.WriteString(a)   // a hash can't fail
		_, _ = d.Write([]byte{0}) // nor here
	}
	return d.Sum64()
}
