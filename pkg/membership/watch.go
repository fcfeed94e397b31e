package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerEndpoint is how many hosts probe each endpoint: one more than
// are needed to tell a dead endpoint from a watcher that is cut off.
const WatchersPerEndpoint = 3

// Watchers chooses who probes an endpoint, by rendezvous hashing, so that a
// host that comes or goes moves only its own share. With fewer hosts than
// WatchersPerEndpoint all of them watch.
func Watchers(endpoint string, hosts []string) []string {
	type scored struct {
		host  string
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{
			host:  h,
			score: xxhash.Sum64String(h + "\x00" + endpoint),
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	n := min(WatchersPerEndpoint, len(all))
	chosen := make([]string, 0, n)
	for _, s := range all[:n] {
		chosen = append(chosen, s.host)
	}
	return chosen
}

// Assign returns, for each host, the endpoints it is to probe.
func Assign(endpoints, hosts []string) map[string][]string {
	watch := map[string][]string{}
	for _, e := range endpoints {
		for _, h := range Watchers(e, hosts) {
			watch[h] = append(watch[h], e)
		}
	}
	return watch
}
