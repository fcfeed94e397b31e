// Command lost reads reports of days that the users' benchmark wrote, and prints by
// cause how much worth was lost in the mean of the days. The rows add up to one minus
// the worth. It also prints an estimate of the customers' stricter measure.
//
// Usage: go run ./lost REPORT...
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
)

// report is the part of a report that the tool reads.
type report struct {
	Worth  float64           `json:"G"`
	Mean   float64           `json:"served"` // share of the worth of all requests
	Parts  []json.RawMessage `json:"parts"`  // name, weight, value
	Prices []json.RawMessage `json:"prices"` // name, amount, worth
	All    class             `json:"all"`
	Ends   map[string]int    `json:"ends"`        // number of tries by their outcome
	Last   []json.RawMessage `json:"unserved_by"` // outcome of a request's last try, count
}

// class counts requests by outcome.
type class struct {
	Requested int `json:"n"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Excluded  int `json:"not_owed"`
}

// tableRow is a row of a report's table: a name and one or more numbers.
type tableRow struct {
	name    string
	numbers []float64
}

func readTableRow(raw json.RawMessage) (*tableRow, error) {
	fields := []any{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	r := &tableRow{}
	for _, f := range fields {
		switch v := f.(type) {
		case string:
			r.name = v
		case float64:
			r.numbers = append(r.numbers, v)
		}
	}
	if r.name == "" || len(r.numbers) == 0 {
		return nil, fmt.Errorf("not a table row with a name and a number: %s", raw)
	}
	return r, nil
}

// last returns the row's last number.
func (r *tableRow) last() float64 {
	return r.numbers[len(r.numbers)-1]
}

const (
	// The deductions of the stricter measure: a refused request that is retried in
	// time counts as late, one that is refused again as a second refusal, and
	// waiting unserved until the deadline costs as much as a second refusal.
	refusedLoss         = 0.375
	repeatedRefusalLoss = 0.3
	waitedLoss          = 0.3
)

// strict estimates the customers' measure, which counts the worth of a caller's first
// try only. A report doesn't contain the request that a try belongs to, so a
// refusal that was not a request's last try is assumed to have been retried.
func (r *report) strict() (float64, error) {
	owed := float64(max(1, r.All.Requested-r.All.Excluded))
	lastRefused := 0.0
	waited := 0.0
	for _, raw := range r.Last {
		t, err := readTableRow(raw)
		if err != nil {
			return 0, err
		}
		switch t.name {
		case "503":
			lastRefused = t.last()
		case "deadline":
			waited = t.last()
		}
	}
	retried := max(0, float64(r.Ends["503"])-lastRefused)
	refusedAgain := min(retried, lastRefused)
	return r.Mean - (refusedLoss*(retried-refusedAgain)+repeatedRefusalLoss*refusedAgain+waitedLoss*waited)/owed, nil
}

// losses returns the lost worth by cause. The sum is one minus the worth.
func (r *report) losses() (map[string]float64, error) {
	lost := map[string]float64{}
	for _, raw := range r.Parts {
		t, err := readTableRow(raw)
		if err != nil {
			return nil, err
		}
		loss := t.numbers[0] * (1 - t.last())
		if t.name == "whole day" {
			r.splitDay(lost, loss)
			continue
		}
		lost[t.name] += loss
	}
	for _, raw := range r.Prices {
		t, err := readTableRow(raw)
		if err != nil {
			return nil, err
		}
		lost["price: "+t.name] += t.last()
	}
	return lost, nil
}

// lateLoss is the share of a request's worth that is lost if it is late.
const lateLoss = 0.75

// splitDay divides the whole day's loss among late, refused and failed requests.
func (r *report) splitDay(lost map[string]float64, loss float64) {
	late := lateLoss * float64(r.All.Late)
	sum := late + float64(r.All.Refused+r.All.Failed)
	if sum == 0 {
		lost["whole day: other"] += loss
		return
	}
	lost["whole day: late"] += loss * late / sum
	lost["whole day: refused"] += loss * float64(r.All.Refused) / sum
	lost["whole day: failed or cut"] += loss * float64(r.All.Failed) / sum
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(files []string) error {
	total := map[string]float64{}
	worth := 0.0
	strict := 0.0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		r := &report{}
		if err := json.Unmarshal(text, r); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		lost, err := r.losses()
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		for name, v := range lost {
			total[name] += v / float64(len(files))
		}
		worth += r.Worth / float64(len(files))
		s, err := r.strict()
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		strict += s / float64(len(files))
	}
	show(total, worth, strict, len(files))
	return nil
}

// minShownLoss is the smallest loss that is printed in a row of its own.
const minShownLoss = 0.002

func show(total map[string]float64, worth, strict float64, n int) {
	names := []string{}
	other := 0.0
	for name, v := range total {
		if v < minShownLoss {
			other += v
			continue
		}
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return total[names[i]] > total[names[j]] })
	fmt.Printf("%d days: worth %.3f, credit by the stricter measure %.3f\n\n| lost | worth |\n|---|---|\n", n, worth, strict)
	sum := other
	for _, name := range names {
		fmt.Printf("| %s | %.3f |\n", name, total[name])
		sum += total[name]
	}
	fmt.Printf("| all else | %.3f |\n| sum | %.3f |\n", other, sum)
}
