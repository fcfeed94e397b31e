package fleetcontrol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// unnamedBuild stands for the builds of hosts that don't say which they run.
const unnamedBuild = "unnamed"

// builds returns how many entry hosts run each build.
func (h *hosts) builds() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := map[string]int{}
	for _, entry := range h.entries {
		commit := entry.info.GetCommit()
		if commit == "" {
			commit = unnamedBuild
		}
		list[commit]++
	}
	return list
}

// buildRecord shows operators how far an upgrade is. It isn't safe for concurrent use.
type buildRecord struct {
	log     *eventlog.Log
	metrics *metrics.Set
	shown   map[string]int
}

// update shows how many hosts run each build, if that has changed.
func (r *buildRecord) update(now map[string]int) {
	if maps.Equal(now, r.shown) {
		return
	}
	label := func(commit string) metrics.Label {
		return metrics.Label{
			Name:  "commit",
			Value: commit,
		}
	}
	for commit := range r.shown {
		if now[commit] == 0 {
			r.metrics.Gauge("entry_hosts", label(commit)).Update(0)
		}
	}
	for commit, n := range now {
		r.metrics.Gauge("entry_hosts", label(commit)).Update(int64(n))
	}
	r.shown = now
	var parts []string
	for _, commit := range slices.Sorted(maps.Keys(now)) {
		parts = append(parts, fmt.Sprintf("%s: %d", commit, now[commit]))
	}
	r.log.Event(eventlog.HostBuilds, eventlog.Str("hosts", strings.Join(parts, ", ")))
}
