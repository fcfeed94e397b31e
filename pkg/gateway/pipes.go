package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// pipeShare is the part of a pipe between failure domains that requests
	// may fill on average: a prompt's tokens come in bursts, and a stream's
	// tokens must not wait behind them.
	pipeShare = 0.6
	// pipeBurst is how much of a second's share may be used at once.
	pipeBurst = 0.5
)

// pipes holds this host to its share of the pipes between failure domains,
// which all hosts' requests share. Without it, a domain that lost a part sends
// more across than the pipe carries, and every stream that crosses is late.
type pipes struct {
	svc timer.Service

	mu   sync.Mutex
	used map[fleet.DomainPair]*pipe
}

// pipe is a bucket of bytes; its size is known with the engine's figures.
type pipe struct {
	bytes float64
	at    time.Time
}

func newPipes(svc timer.Service) *pipes {
	return &pipes{
		svc:  svc,
		used: map[fleet.DomainPair]*pipe{},
	}
}

// take takes what a path's crossings need of the pipes, all or nothing, and
// reports whether there was enough.
func (p *pipes) take(e *fleet.Engine, path []fleet.Stage, tokens float64, hosts int) bool {
	if e.PipeMbps <= 0 || e.ActivationB <= 0 {
		return true
	}
	need := crossings(path)
	if len(need) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := e.PipeMbps * 1e6 / 8 * pipeShare / float64(max(1, hosts))
	cost := tokens * e.ActivationB
	for pair, n := range need {
		if p.refill(pair, rate, cost).bytes < cost*float64(n) {
			return false
		}
	}
	for pair, n := range need {
		p.used[pair].bytes -= cost * float64(n)
	}
	return true
}

// refill adds what came since the last look. A bucket always holds enough for
// one request that crosses there and back.
func (p *pipes) refill(pair fleet.DomainPair, rate, cost float64) *pipe {
	now := p.svc.Now()
	b := p.used[pair]
	size := max(rate*pipeBurst, 2*cost)
	if b == nil {
		b = &pipe{
			bytes: size,
			at:    now,
		}
		p.used[pair] = b
	}
	b.bytes = min(size, b.bytes+rate*now.Sub(b.at).Seconds())
	b.at = now
	return b
}

// crossings counts a path's changes of failure domain, by pair.
func crossings(path []fleet.Stage) map[fleet.DomainPair]int {
	list := map[fleet.DomainPair]int{}
	for i := 1; i < len(path); i++ {
		a, b := path[i-1].Domain, path[i].Domain
		if a == b {
			continue
		}
		if a > b {
			a, b = b, a
		}
		list[fleet.DomainPair{A: a, B: b}]++
	}
	return list
}
