package permit

import (
	"slices"
	"time"
)

// HostReport is what a host sends the leader.
type HostReport struct {
	Term         uint64
	Version      uint64
	Digest       uint64
	LimitReports []LimitReport
	Demands      []Demand
	Unused       Counts
}

// TakeReport returns what to send the leader. Unused permits are returned only once: if they
// were sent again after an answer was lost, the leader would grant them twice.
func (h *Holder) TakeReport() HostReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := HostReport{
		Term:         h.term,
		Version:      h.version,
		Digest:       h.digest,
		LimitReports: h.pendingReports(),
	}
	if len(h.entries) > 0 {
		report.Demands = h.demands(h.clock.Now())
	}
	report.Unused = h.unused
	h.unused = Counts{}
	return report
}

// demands returns the demand for each service that received requests lately, and drops the
// other services.
func (h *Holder) demands(now time.Time) []Demand {
	wanted := h.wanted(now)
	var list []Demand
	for service, r := range h.requests {
		r.decay(now)
		if r.unreported == 0 && r.rate < minExpectedUse {
			delete(h.requests, service)
			continue
		}
		d := Demand{
			Service:  service,
			Requests: r.unreported,
		}
		if r.rate*float64(Lifetime)/float64(rateWindow) >= minExpectedUse {
			d.Wanted = wanted[service]
		}
		r.unreported = 0
		list = append(list, d)
	}
	return list
}

// wanted returns, by service, the endpoints to ask permits for: those for which none is held,
// in turn, except those paused because permits expired unused.
func (h *Holder) wanted(now time.Time) map[string][]uint32 {
	keys := make([]uint32, 0, len(h.entries))
	for key := range h.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	first, _ := slices.BinarySearch(keys, h.nextWanted)
	list := map[string][]uint32{}
	for i := range keys {
		key := keys[(first+i)%len(keys)]
		e := h.entries[key]
		if h.dropExpired(key, e, now) > 0 || now.Before(e.pausedUntil) || len(list[e.report.Service]) >= maxWanted {
			continue
		}
		list[e.report.Service] = append(list[e.report.Service], key)
		h.nextWanted = key + 1
	}
	return list
}

// PendingReports returns the limit reports that the leader hasn't acknowledged yet.
func (h *Holder) PendingReports() []LimitReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pendingReports()
}

func (h *Holder) pendingReports() []LimitReport {
	now := h.clock.Now()
	for key, e := range h.entries {
		if _, isPending := h.unreported[key]; !isPending && e.knownTerm < h.term && !now.Before(e.reReportAt) {
			h.unreported[key] = e.report
		}
	}
	list := make([]LimitReport, 0, len(h.unreported))
	for _, r := range h.unreported {
		list = append(list, r)
	}
	return list
}

// Acknowledge notes that the leader of a term received these reports.
func (h *Holder) Acknowledge(term uint64, reports []LimitReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range reports {
		if h.unreported[r.Key] == r {
			delete(h.unreported, r.Key)
		}
		if e := h.entries[r.Key]; e != nil && r.hasLimit() {
			e.knownTerm = term
		}
	}
}
