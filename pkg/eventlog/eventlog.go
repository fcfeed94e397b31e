// Package eventlog writes one JSON line to standard output for each decision
// about a request and for each change of the process's local state. The list of
// events is closed. Writing is rate-limited and never blocks: lines that exceed
// the budget or find the queue full are dropped and counted.
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

// Event is the name of one kind of line.
type Event string

// The events. Their values are what operators search for.
const (
	Started         Event = "started"
	Stopping        Event = "stopping"
	Stopped         Event = "stopped"
	Reloaded        Event = "reloaded"
	RequestRefused  Event = "request_refused"
	RequestFailed   Event = "request_failed"
	RequestServed   Event = "request_served"
	RequestLeft     Event = "request_left"
	AttemptFailed   Event = "attempt_failed"
	StreamRepathed  Event = "stream_repathed"
	StreamReturned  Event = "stream_returned"
	StreamResumed   Event = "stream_resumed"
	StreamStalled   Event = "stream_stalled"
	EndpointAvoided Event = "endpoint_avoided"
	EndpointResting Event = "endpoint_resting"
	HostBuilds      Event = "host_builds"
	EndpointAsked   Event = "endpoint_asked"
	CallInRest      Event = "call_in_rest"
	EndpointLimit   Event = "endpoint_limit"
	EndpointJoined  Event = "endpoint_joined"
	EndpointLeaving Event = "endpoint_leaving"
	EndpointGone    Event = "endpoint_gone"
	EndpointSilent  Event = "endpoint_silent"
	EndpointLayers  Event = "endpoint_layers"
	// HeartbeatRejected: a heartbeat can't be one that an endpoint sent, or contradicts those
	// of the same incarnation.
	HeartbeatRejected Event = "heartbeat_rejected"
	// ServiceUnreachable: no endpoint of a service accepts this host's connections.
	ServiceUnreachable Event = "service_unreachable"
	ServiceReachable   Event = "service_reachable"
	ConfigInForce      Event = "configuration_in_force"
	ConfigAccepted     Event = "configuration_accepted"
	ConfigRefused      Event = "configuration_refused"
	ConfigFailed       Event = "configuration_failed"
	ControlLost        Event = "control_lost"
	ControlRegained    Event = "control_regained"
	ReadyChanged       Event = "ready_changed"
	RoleChanged        Event = "role_changed"
	ReplicasChanged    Event = "replicas_changed"
	ReplicasUnchanged  Event = "replicas_unchanged"
	ReplicasSpare      Event = "replicas_spare"
	ReplicaJoining     Event = "replica_joining"
	StorageFailed      Event = "storage_failed"
	StorageRecovered   Event = "storage_recovered"
	RequestHeld        Event = "request_held"
	RequestReleased    Event = "request_released"
	PartHeld           Event = "part_held"
	PartTried          Event = "part_tried"
	PartReleased       Event = "part_released"
	AdmissionChanged   Event = "admission_changed"
	OrderSent          Event = "order_sent"
	OrderFailed        Event = "order_failed"
	Unexpected         Event = "unexpected"
)

// Events lists all events in the order of the documentation.
var Events = []Event{
	Started, Stopping, Stopped, Reloaded,
	RequestRefused, RequestFailed, RequestServed, RequestLeft, AttemptFailed, StreamRepathed, StreamResumed, StreamReturned, StreamStalled,
	EndpointAvoided, EndpointResting, HostBuilds, EndpointAsked, CallInRest, EndpointLimit,
	EndpointJoined, EndpointLeaving, EndpointGone, EndpointSilent, EndpointLayers, HeartbeatRejected,
	ServiceUnreachable, ServiceReachable,
	ConfigInForce, ConfigAccepted, ConfigRefused, ConfigFailed,
	ControlLost, ControlRegained, ReadyChanged, RoleChanged, ReplicasChanged, ReplicasUnchanged, ReplicasSpare, ReplicaJoining,
	StorageFailed, StorageRecovered, RequestHeld, RequestReleased, PartHeld, PartTried, PartReleased, AdmissionChanged, OrderSent, OrderFailed, Unexpected,
}

const (
	// queueSize is how many lines may wait for a slow reader.
	queueSize = 512
	// maxValueBytes bounds the bytes of one value.
	maxValueBytes = 400
	// successDivisor divides the budget for lines about success: they are dropped
	// once half of it is used, so that lines about failures are dropped last.
	successDivisor = 2
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

// Int returns a field that holds an integer.
func Int(name string, value int64) Field {
	return Field{
		name:    name,
		text:    strconv.FormatInt(value, 10),
		numeric: true,
	}
}

// Ms returns a field that holds a duration in milliseconds; its name ends in _ms.
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

// Log writes lines. It is safe for concurrent use. A nil Log writes nothing.
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

// New returns a log that writes at most budget lines per second to out while Run
// runs.
func New(out io.Writer, svc timer.Service, host string, budget int) *Log {
	return &Log{
		out:    out,
		svc:    svc,
		host:   host,
		queue:  make(chan []byte, queueSize),
		budget: budget,
	}
}

// Run writes queued lines until ctx is done, and then those that are left.
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
	// There is nowhere to report a failed write but the count of dropped lines.
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Event queues a line of e with fields. It never blocks.
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

// withinBudget reports whether a line may be written at now, and counts it if so.
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

// appendString appends s as a JSON string, truncated to maxValueBytes bytes.
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
