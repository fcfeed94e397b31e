// Package eventlog writes one JSON line on standard output for each decision
// that touches a request or changes what the process believes. The list of
// events is closed. Writing is bounded and never waits: what exceeds the
// budget or finds the queue full is left out and counted.
package eventlog

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Event names one kind of line.
type Event string

// The events.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	Reloaded         Event = "reloaded"
	RequestRefused   Event = "request_refused"
	RequestFailed    Event = "request_failed"
	RequestServed    Event = "request_served"
	RequestLeft      Event = "request_left"
	AttemptFailed    Event = "attempt_failed"
	StreamRepathed   Event = "stream_repathed"
	StreamResumed    Event = "stream_resumed"
	StreamStalled    Event = "stream_stalled"
	EndpointAvoided  Event = "endpoint_avoided"
	EndpointResting  Event = "endpoint_resting"
	EndpointAsked    Event = "endpoint_asked"
	CallInRest       Event = "call_in_rest"
	EndpointLimit    Event = "endpoint_limit"
	EndpointJoined   Event = "endpoint_joined"
	EndpointLeaving  Event = "endpoint_leaving"
	EndpointGone     Event = "endpoint_gone"
	EndpointSilent   Event = "endpoint_silent"
	EndpointLayers   Event = "endpoint_layers"
	ConfigInForce    Event = "configuration_in_force"
	ConfigAccepted   Event = "configuration_accepted"
	ConfigRefused    Event = "configuration_refused"
	ConfigFailed     Event = "configuration_failed"
	ControlLost      Event = "control_lost"
	ControlRegained  Event = "control_regained"
	ReadyChanged     Event = "ready_changed"
	RoleChanged      Event = "role_changed"
	ReplicasChanged  Event = "replicas_changed"
	ReplicaJoining   Event = "replica_joining"
	StorageFailed    Event = "storage_failed"
	StorageRecovered Event = "storage_recovered"
	RequestHeld      Event = "request_held"
	RequestReleased  Event = "request_released"
	OrderSent        Event = "order_sent"
	OrderFailed      Event = "order_failed"
	Unexpected       Event = "unexpected"
)

// Events is the closed list, in the order of the documentation.
var Events = []Event{
	Started, Stopping, Stopped, Reloaded,
	RequestRefused, RequestFailed, RequestServed, RequestLeft, AttemptFailed, StreamRepathed, StreamResumed, StreamStalled,
	EndpointAvoided, EndpointResting, EndpointAsked, CallInRest, EndpointLimit,
	EndpointJoined, EndpointLeaving, EndpointGone, EndpointSilent, EndpointLayers,
	ConfigInForce, ConfigAccepted, ConfigRefused, ConfigFailed,
	ControlLost, ControlRegained, ReadyChanged, RoleChanged, ReplicasChanged, ReplicaJoining,
	StorageFailed, StorageRecovered, RequestHeld, RequestReleased, OrderSent, OrderFailed, Unexpected,
}

const (
	// queueSize is how many lines may wait for a reader that is slow.
	queueSize = 512
	// maxValueBytes bounds the bytes of one value.
	maxValueBytes = 400
	// successDivisor is the part of the budget that lines about success may use,
	// so that those about failures are the last to go.
	successDivisor = 2 // one half
)

// Field is one name and value of a line.
type Field struct {
	name    string
	text    string
	numeric bool
}

// Str returns a field that holds text.
func Str(name, value string) Field {
	return Field{
		name: name,
		text: value,
	}
}

// Int returns a field that holds a whole number.
func Int(name string, value int64) Field {
	return Field{
		name:    name,
		text:    strconv.FormatInt(value, 10),
		numeric: true,
	}
}

// Ms returns a field that holds a time in milliseconds; its name ends in _ms.
func Ms(name string, d time.Duration) Field {
	return Int(name, d.Milliseconds())
}

// Err returns the field that holds an error.
func Err(err error) Field {
	if err == nil {
		return Str("error", "")
	}
	return Str("error", err.Error())
}

// Log writes lines. A nil Log writes nothing.
type Log struct {
	out    io.Writer
	svc    timer.Service
	host   string
	queue  chan []byte
	budget int // lines a second

	mu             sync.Mutex
	currentSecond  int64
	usedThisSecond int
	dropped        atomic.Int64
}

// New returns a log that writes at most budget lines a second to out, once
// Run is called.
func New(out io.Writer, svc timer.Service, host string, budget int) *Log {
	return &Log{
		out:    out,
		svc:    svc,
		host:   host,
		queue:  make(chan []byte, queueSize),
		budget: budget,
	}
}

// Run writes what is queued until ctx ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Log) write(line []byte) {
	// Nothing can be told if standard output is gone; the count of dropped
	// lines shows it.
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were left out.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Event writes a line of e with fields.
func (l *Log) Event(e Event, fields ...Field) {
	if l == nil {
		return
	}
	if !l.withinBudget(e, l.svc.Now()) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- l.format(e, l.svc.Wall(), fields):
	default:
		l.dropped.Add(1)
	}
}

func (l *Log) withinBudget(e Event, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.currentSecond {
		l.currentSecond = s
		l.usedThisSecond = 0
	}
	limit := l.budget
	if e == RequestServed {
		limit /= successDivisor
	}
	if l.usedThisSecond >= limit {
		return false
	}
	l.usedThisSecond++
	return true
}

func (l *Log) format(e Event, now time.Time, fields []Field) []byte {
	b := make([]byte, 0, 256)
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, `","host":`...)
	b = appendString(b, l.host)
	b = append(b, `,"event":`...)
	b = appendString(b, string(e))
	for _, f := range fields {
		b = append(b, ',')
		b = appendString(b, f.name)
		b = append(b, ':')
		if f.numeric {
			b = append(b, f.text...)
			continue
		}
		b = appendString(b, f.text)
	}
	return append(b, '}', '\n')
}

const hexDigits = "0123456789abcdef"

// appendString appends s as a JSON string, cut to maxValue bytes.
func appendString(b []byte, s string) []byte {
	if len(s) > maxValueBytes {
		s = s[:maxValueBytes]
	}
	b = append(b, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[r>>4], hexDigits[r&15])
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}
