package admission

import (
	"slices"
	"time"
)

// sumWindow is the time over which demand and finished tokens are summed. Sums over a shorter
// one vary with how many calls of a host happen to be in it.
const sumWindow = time.Second

// demandSum is the sum of the reports in the window, and their number. The sum starts from 0
// again when no report is left, so that rounding errors don't add up.
type demandSum struct {
	tokens  float64
	reports int
}

// recentReport is what one report adds to the sums.
type recentReport struct {
	at       time.Time
	finished float64
	demand   []Demand
}

// recentDemand is a service's demand and finished tokens, over all hosts.
//
// Invariant: sums and finished are exactly those of reports, which are in the order of
// arrival, and none of them is older than the window once expire has returned.
type recentDemand struct {
	reports  []recentReport
	sums     map[demandKey]*demandSum
	finished float64
	averages *averages
}

func newRecentDemand() *recentDemand {
	return &recentDemand{
		sums:     map[demandKey]*demandSum{},
		averages: newAverages(),
	}
}

func (d *recentDemand) add(r recentReport) {
	d.reports = append(d.reports, r)
	d.finished += r.finished
	for _, wanted := range r.demand {
		key := demandKey{
			class:   wanted.Class,
			account: wanted.Account,
		}
		s := d.sums[key]
		if s == nil {
			s = &demandSum{}
			d.sums[key] = s
		}
		s.tokens += wanted.Tokens
		s.reports++
		d.averages.add(wanted, r.at)
	}
}

// expire removes the reports that are older than the window.
func (d *recentDemand) expire(now time.Time) {
	n := 0
	for ; n < len(d.reports) && now.Sub(d.reports[n].at) >= sumWindow; n++ {
		d.finished -= d.reports[n].finished
		for _, wanted := range d.reports[n].demand {
			d.subtract(wanted)
		}
	}
	clear(d.reports[:n]) // for the garbage collector
	d.reports = d.reports[n:]
	if len(d.reports) == 0 {
		d.finished = 0
	}
}

func (d *recentDemand) subtract(wanted Demand) {
	key := demandKey{
		class:   wanted.Class,
		account: wanted.Account,
	}
	s := d.sums[key]
	s.tokens -= wanted.Tokens
	if s.reports--; s.reports == 0 {
		delete(d.sums, key)
	}
}

// classes returns the demand by class and account in the order of admission, multiplied by
// scale. That of a class is the window's. It is divided among its accounts by what they have
// asked for on average.
func (d *recentDemand) classes(scale float64, now time.Time) []classDemand {
	byClass := map[Class]*classDemand{}
	for key, s := range d.sums {
		if s.tokens <= 0 {
			continue
		}
		c := byClass[key.class]
		if c == nil {
			c = &classDemand{
				class: key.class,
			}
			byClass[key.class] = c
		}
		c.accounts = append(c.accounts, accountDemand{
			account: key.account,
			tokens:  s.tokens * scale,
		})
	}
	for key := range d.averages.byKey {
		if c := byClass[key.class]; c != nil && d.sums[key] == nil {
			c.accounts = append(c.accounts, accountDemand{
				account: key.account,
			})
		}
	}
	list := make([]classDemand, 0, len(byClass))
	for _, c := range byClass {
		slices.SortFunc(c.accounts, compareDemand) // sums of floats depend on the order
		c.divideBy(func(a accountDemand) float64 {
			return d.averages.estimate(demandKey{class: c.class, account: a.account}, a.tokens, now)
		})
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b classDemand) int {
		return a.class.Index() - b.class.Index()
	})
	return list
}

// coverage is for how long hosts have reported within the window, in sum over hosts. A host
// whose calls are 0.4 s apart has two or three of them in a window of 1 s; sums are divided by
// coverage, so that they don't swing when the calls of many hosts are in step.
//
// Invariant: sum is that of spans, none of which is older than the window once expire has
// returned.
type coverage struct {
	spans []span
	sum   time.Duration
}

// span is the time from a host's previous call to one that arrived at a time.
type span struct {
	at       time.Time
	duration time.Duration
}

func (c *coverage) add(s span) {
	c.spans = append(c.spans, s)
	c.sum += s.duration
}

func (c *coverage) expire(now time.Time) {
	n := 0
	for ; n < len(c.spans) && now.Sub(c.spans[n].at) >= sumWindow; n++ {
		c.sum -= c.spans[n].duration
	}
	c.spans = c.spans[n:]
}

// perSecond returns what makes a rate, of so many hosts, of a sum over the reports that the
// coverage is of.
func (c *coverage) perSecond(hosts int) float64 {
	if c.sum <= 0 {
		return 0
	}
	return float64(hosts) / c.sum.Seconds()
}
