package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerEndpoint is how many hosts probe each endpoint: one more than is
// needed to distinguish a dead endpoint from a watcher that is cut off.
const WatchersPerEndpoint = 3

// Watchers selects the hosts that probe an endpoint by rendezvous hashing, so
// that a host that joins or leaves moves only its own share. With fewer hosts than
// WatchersPerEndpoint all of them probe it.
func Watchers(endpoint string, hosts []string) []string {
	chosen := make([]string, 0, WatchersPerEndpoint)
	for _, i := range selectWatchers(xxhash.Sum64String(endpoint), hashes(hosts)) {
		chosen = append(chosen, hosts[i])
	}
	return chosen
}

// Assign returns the endpoints that each host probes.
func Assign(endpoints, hosts []string) map[string][]string {
	watch := make(map[string][]string, len(hosts))
	hashed := hashes(hosts)
	for _, e := range endpoints {
		for _, i := range selectWatchers(xxhash.Sum64String(e), hashed) {
			watch[hosts[i]] = append(watch[hosts[i]], e)
		}
	}
	return watch
}

func hashes(list []string) []uint64 {
	h := make([]uint64, 0, len(list))
	for _, s := range list {
		h = append(h, xxhash.Sum64String(s))
	}
	return h
}

// selectWatchers returns the indexes of the hosts with the highest scores.
func selectWatchers(endpoint uint64, hosts []uint64) []int {
	chosen := make([]int, 0, WatchersPerEndpoint+1)
	scores := make([]uint64, 0, WatchersPerEndpoint+1)
	for i, h := range hosts {
		s := score(endpoint, h)
		at := len(scores)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at == WatchersPerEndpoint {
			continue
		}
		scores = slices.Insert(scores, at, s)[:min(len(scores)+1, WatchersPerEndpoint)]
		chosen = slices.Insert(chosen, at, i)[:min(len(chosen)+1, WatchersPerEndpoint)]
	}
	return chosen
}

// score mixes two hashes with the finalizer of MurmurHash3, in which every input
// bit affects every output bit.
func score(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
