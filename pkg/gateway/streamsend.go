package gateway

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
)

// streamSend is one send of a stream, along a path of endpoints or to another host.
type streamSend struct {
	path         []fleet.Stage
	releases     []func() // undo the load counted for the path
	peer         string   // the host that it is relayed to; empty if none
	sentAt       time.Time
	gotEvent     bool      // it has brought an event
	firstEventAt time.Time // valid if gotEvent
	lastEventAt  time.Time // valid if gotEvent
	survived     bool      // it was written for quarantine.SurvivalTime
	unsent       bool      // it reached no endpoint
	silent       bool      // its endpoint left stall queries unanswered since the last event, which is recorded
	stageStalled bool      // it was suspended although its first endpoint answers
	head         *Answer   // to be written with the first event; nil if there is none
	pending      *pendingSend
	liveness     *livenessWatch // nil before it is relayed
	reader       *answerReader  // nil unless it is open
	group        *group.Group   // runs the reader
	next         []answerItem   // that were read while it was suspended
}

// open makes the call and begins to read its answer into memory.
func (d *streamSend) open(ctx context.Context, memory *answerMemory, send sender) {
	r := newAnswerReader(memory)
	d.reader = r
	d.group = group.New(ctx)
	d.group.Go(func(ctx context.Context) {
		r.read(ctx, send)
	})
}

func (d *streamSend) isOpen() bool {
	return d.reader != nil
}

// close ends the call, if it is open, and closes its connection unless the answer is complete.
func (d *streamSend) close() {
	if !d.isOpen() {
		return
	}
	d.group.Stop()
	d.unsent = d.reader.unsent.Load()
	d.reader = nil
}

// release removes the load that is counted for the path.
func (d *streamSend) release() {
	for _, end := range d.releases {
		end()
	}
	d.releases = nil
}

// writing returns the time from the first event to the last one.
func (d *streamSend) writing() time.Duration {
	if !d.gotEvent {
		return 0
	}
	return d.lastEventAt.Sub(d.firstEventAt)
}

// hasNext reports whether an item other than the head was read while the send was suspended.
func (d *streamSend) hasNext() bool {
	return len(d.next) > 0 && d.next[len(d.next)-1].head == nil
}
