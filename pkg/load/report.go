package load

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bound"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// stallAfter is the time between two tokens beyond which it counts as a stall.
	stallAfter = 150 * time.Millisecond
)

// accountReport holds the figures of one client account.
type accountReport struct {
	good       int
	wrong      int
	refused    map[string]int
	tokens     int
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
	stalls     *hdrhistogram.Histogram
}

// Report holds what callers observed in one experiment.
type Report struct {
	exp  *Experiment
	from time.Time
	to   time.Time

	mu         sync.Mutex
	accounts   map[string]*accountReport
	mismatches []string
	tokens     int // received in the counted time, of all requests
}

// countToken counts a token when it arrives. Counting completed requests alone
// would misstate the throughput of a run that is not much longer than a request.
func (r *Report) countToken(now time.Time) {
	if now.Before(r.from) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

func newReport(exp *Experiment) *Report {
	r := &Report{
		exp:      exp,
		accounts: map[string]*accountReport{},
	}
	for _, c := range exp.Classes {
		r.accounts[c.Account] = newAccountReport()
	}
	return r
}

func newAccountReport() *accountReport {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return &accountReport{
		refused:    map[string]int{},
		firstToken: h(),
		gaps:       h(),
		stalls:     h(),
	}
}

func (r *Report) add(now time.Time, o outcome) {
	if now.Before(r.from) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.accounts[o.class.Account]
	switch {
	case o.failed != nil:
		a.refused[o.failed.Kind().String()]++
		return
	case o.mismatch != "":
		a.wrong++
		r.mismatches = append(r.mismatches, o.mismatch+" ("+o.path+")")
		return
	}
	a.good++
	a.tokens += o.tokens
	record(a.firstToken, o.firstToken)
	for _, g := range o.gaps {
		record(a.gaps, g)
		if g > stallAfter {
			record(a.stalls, g)
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), histogramMax)) // the value is within the histogram's range
}

// total returns the sum of all accounts' figures.
func (r *Report) total() *accountReport {
	t := newAccountReport()
	for _, a := range r.accounts {
		t.good += a.good
		t.wrong += a.wrong
		t.tokens += a.tokens
		for k, n := range a.refused {
			t.refused[k] += n
		}
		t.firstToken.Merge(a.firstToken)
		t.gaps.Merge(a.gaps)
		t.stalls.Merge(a.stalls)
	}
	return t
}

// WrongAnswers returns how many answers were incomplete or differed from the reference,
// and descriptions of the first few.
func (r *Report) WrongAnswers() (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.mismatches), r.mismatches[:min(len(r.mismatches), 5)]
}

var csvHeader = []string{
	"experiment", "account", "seconds", "good", "wrong", "refused", "requests_per_s", "tokens_per_s",
	"first_p50_ms", "first_p95_ms", "first_p99_ms", "between_p50_ms", "between_p95_ms", "between_p99_ms",
	"stalls", "stall_p50_ms", "stall_p95_ms", "stall_max_ms", "all_tokens_per_s", "bound_tokens_per_s", "share_of_bound",
}

// WriteCSV writes a row for each account and one for all. limit is the bound on
// the throughput in tokens a second, or 0 if it is unknown. With header, the column
// names come first.
func (r *Report) WriteCSV(w io.Writer, limit float64, header bool) error {
	c := csv.NewWriter(w)
	if header {
		_ = c.Write(csvHeader) // Flush reports it
	}
	names := make([]string, 0, len(r.accounts))
	for name := range r.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_ = c.Write(r.row(name, r.accounts[name], 0)) // Flush reports it
	}
	_ = c.Write(r.row("(all)", r.total(), limit)) // Flush reports it
	c.Flush()
	return c.Error()
}

func (r *Report) row(name string, a *accountReport, limit float64) []string {
	seconds := r.to.Sub(r.from).Seconds()
	refused := 0
	for _, n := range a.refused {
		refused += n
	}
	rate := float64(a.good) / seconds
	row := []string{
		r.exp.Name, name, number(seconds), strconv.Itoa(a.good), strconv.Itoa(a.wrong), strconv.Itoa(refused),
		number(rate), number(float64(a.tokens) / seconds),
	}
	for _, h := range []*hdrhistogram.Histogram{a.firstToken, a.gaps} {
		for _, q := range []float64{50, 95, 99} {
			row = append(row, millis(h.ValueAtQuantile(q)))
		}
	}
	row = append(row, strconv.FormatInt(a.stalls.TotalCount(), 10),
		millis(a.stalls.ValueAtQuantile(50)), millis(a.stalls.ValueAtQuantile(95)), millis(a.stalls.Max()))
	if limit == 0 {
		return append(row, "", "", "")
	}
	seen := float64(r.tokens) / seconds
	return append(row, number(seen), number(limit), number(seen/limit))
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'f', 3, 64)
}

func millis(us int64) string {
	return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64)
}

// ThroughputBound reads the engines' cost curves and computes the maximum number of tokens a
// second that they can generate with this experiment's mix.
func (r *Runner) ThroughputBound(ctx context.Context) (float64, error) {
	var engines []bound.Engine
	for _, address := range r.exp.Engines {
		info, err := r.engineInfo(ctx, address)
		if err != nil {
			return 0, err
		}
		engines = append(engines, bound.Engine{
			First:      info.FirstLayer,
			End:        info.EndLayer,
			LayerUS:    info.LayerUS,
			SequenceUS: info.SequenceUS,
			TokenUS:    info.TokenUS,
			Batch:      r.exp.Batch,
		})
	}
	w := r.meanWork()
	requests, err := bound.Requests(r.exp.Layers, engines, w)
	return requests * w.Tokens, err
}

// meanWork returns the work of the mix's average request. A prompt has one token
// more than it has words.
func (r *Runner) meanWork() bound.Work {
	w := bound.Work{}
	for _, c := range r.exp.Classes {
		w.PromptTokens += c.Share / r.total * float64(c.PromptWords+1)
		w.Tokens += c.Share / r.total * float64(c.Tokens)
	}
	return w
}

func (r *Runner) engineInfo(ctx context.Context, address string) (api.EngineInfo, error) {
	info := api.EngineInfo{}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+api.EngineInfoPath, nil)
	if err != nil {
		return info, errors.Wrap(err, "request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return info, errors.Wrap(err, "read engine "+address)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&info); err != nil {
		return info, errors.Wrap(err, "decode")
	}
	return info, nil
}
