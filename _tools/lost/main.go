// Command lost reads reports of days that the users' bench wrote and prints, for
// each day and in the mean, where worth was lost: the rows add up to one less the
// worth. Beside it stands the customers' stricter measure.
//
// Usage: go run ./lost REPORT...
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
)

// report is what the tool needs of a report.
type report struct {
	Worth  float64           `json:"G"`
	Mean   float64           `json:"served"` // share of the worth of all requests
	Parts  []json.RawMessage `json:"parts"`  // name, weight, value
	Prices []json.RawMessage `json:"prices"` // name, amount, worth
	All    class             `json:"all"`
	Ends   map[string]int    `json:"ends"`        // tries by how they ended
	Last   []json.RawMessage `json:"unserved_by"` // how the last try ended, count
}

// class is a count of requests.
type class struct {
	Requested int `json:"n"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Excluded  int `json:"not_owed"`
}

// row is a line of a report's table: a name and numbers, or a name and how many.
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
		return nil, fmt.Errorf("not a row: %s", raw)
	}
	return r, nil
}

// last returns the row's last number.
func (r *tableRow) last() float64 {
	return r.numbers[len(r.numbers)-1]
}

const (
	// What the stricter measure takes off: a refusal that comes back in time
	// counts as late, one that is refused again as a second refusal, and waiting
	// to the end unserved as much.
	refusedLoss         = 0.375
	repeatedRefusalLoss = 0.3
	waitedLoss          = 0.3
)

// strict estimates the customers' measure: worth from a caller's first try only.
// A report doesn't tell which request a try belongs to; a refusal that wasn't a
// request's last try is taken to have come back.
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

// losses returns what was lost by cause; it adds up to one less the worth.
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

// lateLoss is how much of a request's worth is lost if it is late.
const lateLoss = 0.75

// splitDay parts the whole day's loss by how requests ended.
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

// least is the smallest loss that has a row of its own.
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
