package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// mostComeBack bounds when a refused caller is told to return: callers heed a
	// third of the time that they have left, and must be answered after that.
	mostComeBack = 4 * time.Second
	// refusalWeight is the newest stream's weight in the share that is refused: a
	// host begins a few streams a second.
	refusalWeight = 0.25
	// troubleBegins and troubleEnds are the shares of streams refused at which a
	// service counts as short of layers, and as served again.
	troubleBegins = 0.4
	troubleEnds   = 0.1
	// comeBackSpread spreads returns by this part of the time either way: callers
	// that were refused together must not return together.
	comeBackSpread = 0.25
)

// comebacks tells when a caller should return that is refused for want of layers, by
// service. What has lasted some time is expected to last as long again: nothing tells
// a host when layers are loaded, and a caller that returns too soon is refused once
// more and has no try left.
type comebacks struct {
	svc timer.Service

	mu   sync.Mutex
	rows map[string]*comebackRow
}

type comebackRow struct {
	share float64   // of streams that were refused lately
	since time.Time // when that became much; zero: it isn't
}

func newComebacks(svc timer.Service) *comebacks {
	return &comebacks{
		svc:  svc,
		rows: map[string]*comebackRow{},
	}
}

// note takes how a stream of a service began.
func (c *comebacks) note(service string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rows[service]
	if r == nil {
		r = &comebackRow{}
		c.rows[service] = r
	}
	r.share *= 1 - refusalWeight
	if refused {
		r.share += refusalWeight
	}
	switch {
	case r.share < troubleEnds:
		r.since = time.Time{}
	case r.share >= troubleBegins && r.since.IsZero():
		r.since = c.svc.Now()
	}
}

// after returns when a caller of a service should come back, least at least.
func (c *comebacks) after(service string, least time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := least
	if r := c.rows[service]; r != nil && !r.since.IsZero() {
		d = max(d, c.svc.Now().Sub(r.since))
	}
	d = time.Duration(float64(d) * (1 - comeBackSpread + 2*comeBackSpread*rand.Float64()))
	return min(max(d, comeBack), mostComeBack)
}
