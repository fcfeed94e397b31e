package engine

import "sync"

// Entry records what a stage ran for one request.
type Entry struct {
	Request string `json:"request"`
	// Runs counts, by position, how often the stage's layers ran since the
	// engine last lost its sessions.
	Runs []int `json:"runs"`
	// Resets is how often the engine has lost its sessions since the entry was
	// made.
	Resets int `json:"lives"`
	// Rebuilt is how many of those runs filled the KV cache of a replacement.
	Rebuilt int `json:"rebuilt"`
	// Imported is how many positions came with an imported KV cache.
	Imported int `json:"imported"`
	// Repeated counts positions that were requested again and answered from the
	// saved outputs.
	Repeated int `json:"repeated"`
	// Stale counts steps of older attempts, which were rejected.
	Stale int `json:"stale"`
}

// Ledger records what the engine ran, for tests to compare with what callers
// received. It outlives the sessions.
type Ledger struct {
	mu      sync.Mutex
	entries map[string]*Entry
	order   []string
	resets  uint64
}

// ledgerSize is the maximum number of requests in the ledger.
const ledgerSize = 20_000

func newLedger() *Ledger {
	return &Ledger{
		entries: map[string]*Entry{},
	}
}

// Get returns a copy of a request's entry, and whether there is one.
func (l *Ledger) Get(request string) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[request]
	if !ok {
		return Entry{}, false
	}
	c := *e
	c.Runs = append([]int(nil), e.Runs...)
	return c, true
}

// All returns copies of all entries, oldest first.
func (l *Ledger) All() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Entry, 0, len(l.order))
	for _, id := range l.order {
		c := *l.entries[id]
		c.Runs = append([]int(nil), c.Runs...)
		all = append(all, c)
	}
	return all
}

// reset records that the engine lost its sessions.
func (l *Ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
	for _, e := range l.entries {
		e.Resets++
		e.Runs = nil
	}
}

func (l *Ledger) entry(request string) *Entry {
	e := l.entries[request]
	if e != nil {
		return e
	}
	if len(l.order) >= ledgerSize {
		delete(l.entries, l.order[0])
		l.order = l.order[1:]
	}
	e = &Entry{
		Request: request,
	}
	l.entries[request] = e
	l.order = append(l.order, request)
	return e
}

// resetCount returns how often the engine has lost its sessions.
func (l *Ledger) resetCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resets
}

// ran records positions that were run. If the engine has lost its sessions since
// its reset count was resetCount, it records nothing and returns false.
func (l *Ledger) ran(resetCount uint64, request string, pos, n int, rebuild bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resetCount != l.resets {
		return false
	}
	e := l.entry(request)
	for len(e.Runs) < pos+n {
		e.Runs = append(e.Runs, 0)
	}
	for i := pos; i < pos+n; i++ {
		e.Runs[i]++
	}
	if rebuild {
		e.Rebuilt += n
	}
	return true
}

func (l *Ledger) repeated(request string, n int) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request).Repeated += n
}

func (l *Ledger) stale(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request).Stale++
}

func (l *Ledger) imported(request string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(request).Imported += n
}
