package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// LoadKey identifies an endpoint in load reports by four bytes of its id's hash.
// Among 3,200 endpoints the chance that two share a key is about 1 in 800; their
// loads are then reported as one, which only makes both look busier.
func LoadKey(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// EndpointsDigest returns a digest by which hosts compare their sets of
// endpoints: it is equal if a host that holds one set needs nothing from the
// other. It covers the usable endpoints and what their heartbeats and answers
// report, but not when they did. The order of the list doesn't matter.
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

// appendState appends the fields of an endpoint that other hosts must know.
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

// AddressesDigest returns a digest that is equal for equal lists of addresses;
// 0 for an empty list.
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
