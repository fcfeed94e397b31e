// Package timeline assembles the timeline of one request from the event logs of many
// hosts: its own lines, and those about the endpoints and hosts involved.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// contextWindow is how long before and after a request the lines of the endpoints
// and hosts involved are included.
const contextWindow = 5 * time.Second

// maxLine bounds one line of a log.
const maxLine = 64 << 10

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]any
	raw    string
}

// Text returns the fields but for time, host and event, sorted by name.
func (l *Line) Text() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		if n != "time" && n != "host" && n != "event" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, n := range names {
		value, err := json.Marshal(l.Fields[n])
		if err != nil {
			continue // can't happen, as the value was decoded from JSON
		}
		parts = append(parts, n+"="+strings.Trim(string(value), `"`))
	}
	return strings.Join(parts, " ")
}

// Read returns the lines of a log. Lines that aren't events are skipped; a log
// collector may have put a prefix before the JSON object.
func Read(r io.Reader) ([]Line, error) {
	var list []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLine), maxLine)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok {
			list = append(list, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return list, nil
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{
		Fields: map[string]any{},
		raw:    string(text[start:]),
	}
	if json.Unmarshal(text[start:], &l.Fields) != nil {
		return Line{}, false
	}
	timeText, _ := l.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil {
		return Line{}, false
	}
	l.Time = at
	l.Host, _ = l.Fields["host"].(string)
	l.Event, _ = l.Fields["event"].(string)
	return l, l.Event != ""
}

// ForRequest returns the timeline of a request, sorted by time: its own lines, and those
// about the endpoints and hosts involved, from contextWindow before it arrived to
// contextWindow after its last line. Changes of a control replica's role and accepted
// configurations in that time are included from all hosts. It is nil if no line names the
// request.
func ForRequest(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.Fields["request"] == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from := arrivalTime(&own[0]).Add(-contextWindow)
	to := own[len(own)-1].Time.Add(contextWindow)
	related := scopeOf(own)
	out := own
	for _, l := range lines {
		_, ofRequest := l.Fields["request"]
		if ofRequest || l.Time.Before(from) || l.Time.After(to) || !related.covers(&l) {
			continue
		}
		out = append(out, l)
	}
	sortByTime(out)
	return out
}

// arrivalTime returns when a request arrived, computed from the elapsed time that
// one of its lines gives; the line's own time if it gives none.
func arrivalTime(l *Line) time.Time {
	for _, name := range []string{"took_ms", "after_ms"} {
		if ms, ok := l.Fields[name].(float64); ok {
			return l.Time.Add(-time.Duration(ms) * time.Millisecond)
		}
	}
	return l.Time
}

func sortByTime(list []Line) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
}

// scope is what a request involved: the hosts that wrote its lines, and the text of
// these lines, which names endpoints.
type scope struct {
	hosts map[string]bool
	text  string
}

func scopeOf(own []Line) scope {
	t := scope{
		hosts: map[string]bool{},
	}
	var b strings.Builder
	for _, l := range own {
		t.hosts[l.Host] = true
		b.WriteString(l.raw)
	}
	t.text = b.String()
	return t
}

// hostEvents are the events of a host that affect all of its requests.
var hostEvents = map[string]bool{
	"control_lost": true, "control_regained": true, "configuration_in_force": true, "ready_changed": true,
	"started": true, "stopping": true, "stopped": true,
}

// covers reports whether a line that isn't of a request belongs to the timeline.
func (t scope) covers(l *Line) bool {
	if hostEvents[l.Event] {
		return t.hosts[l.Host]
	}
	for _, name := range []string{"endpoint", "address"} {
		if v, _ := l.Fields[name].(string); v != "" && strings.Contains(t.text, v) {
			return true
		}
	}
	return l.Event == "role_changed" || l.Event == "configuration_accepted"
}
