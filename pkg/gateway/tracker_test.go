package gateway

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an endpoint that is avoided", func() {
	var clock *timer.Manual
	var t *Tracker
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		t = NewTracker(clock, nil)
	})
	hear := func() { t.Heard("e", clock.Now()) }

	It("is used again as soon as it is heard after silence", func() {
		t.RecordSilence("e", "silent")
		clock.Advance(inFlightTime)
		hear()
		Expect(t.Avoided("e")).To(BeTrue(), "it may have sent that before")
		clock.Advance(time.Millisecond)
		hear()
		Expect(t.Avoided("e")).To(BeFalse())
		Expect(t.Suspects()).To(BeEmpty())
	})

	It("stays avoided if it has failed, whatever is heard", func() {
		for _, first := range []bool{false, true} { // the failure, or the silence
			if first {
				t.RecordFailure("e", "refused")
				t.RecordSilence("e", "silent")
			} else {
				t.RecordSilence("e", "silent")
				t.RecordFailure("e", "refused")
			}
			clock.Advance(initialAvoidTime - time.Millisecond)
			hear()
			Expect(t.Avoided("e")).To(BeTrue())
			t.RecordSuccess("e", time.Millisecond)
			Expect(t.Avoided("e")).To(BeFalse())
		}
	})

	// Guards against an endpoint of streams, which never brings a complete answer, that is avoided
	// for longer after each of its pauses.
	It("is avoided for no longer after each pause, if it was heard in between", func() {
		for _, record := range []func(id, why string){t.RecordSilence, t.RecordStall} {
			for range 5 {
				record("e", "paused")
				clock.Advance(initialAvoidTime - time.Millisecond)
				Expect(t.Avoided("e")).To(BeTrue())
				clock.Advance(2 * time.Millisecond)
				Expect(t.Avoided("e")).To(BeFalse())
				hear()
			}
		}
	})

	It("is avoided for its whole time after a stall", func() {
		t.RecordStall("e", "stalled")
		clock.Advance(initialAvoidTime - time.Millisecond)
		hear()
		Expect(t.Avoided("e")).To(BeTrue())
	})

	It("is avoided for longer after each silence in which it wasn't heard", func() {
		t.RecordSilence("e", "silent")
		clock.Advance(initialAvoidTime + time.Millisecond)
		t.RecordSilence("e", "silent")
		clock.Advance(initialAvoidTime + time.Millisecond)
		Expect(t.Avoided("e")).To(BeTrue())
	})

	It("is silent if it didn't accept a connection in time, and not if it refused one", func() {
		for _, c := range []struct {
			cause  error
			silent bool
		}{
			{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true},
			{&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, false},
			{errReset, false},
		} {
			t.RecordError("e", &SendError{Cause: c.cause})
			Expect(t.Avoided("e")).To(BeTrue())
			Expect(t.Silent("e")).To(Equal(c.silent))
			clock.Advance(inFlightTime + time.Millisecond)
			hear()
			Expect(t.Avoided("e")).To(Equal(!c.silent))
			t.RecordSuccess("e", time.Millisecond)
		}
	})

	It("isn't counted after it was forgotten", func() {
		t.RecordSilence("e", "silent")
		clock.Advance(idleEntryLifetime + time.Second)
		t.Loads()
		Expect(t.restorable.Load()).To(BeZero())
	})
})

var _ = Describe("a stage that is avoided for silence", func() {
	It("is used again after the next event of any stream that passes through it", func() {
		withGateway(func(b *fixture) {
			r, w := io.Pipe()
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: r}, nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			out, done := b.stream(ctx)
			_, _ = w.Write([]byte(events(1, 1)))
			Eventually(out.text, "5s").Should(Equal(events(1, 1)))
			path := b.client.sent()[0].Path
			Expect(len(path)).To(BeNumerically(">", 1))
			for _, p := range path {
				b.gateway.recordLost(p.ID, checkSilent)
			}
			refused := path[len(path)-1].ID
			b.gateway.recordLost(refused, checkRefused)
			b.clock.Advance(inFlightTime + time.Millisecond)
			_, _ = w.Write([]byte(events(2, 2)))
			Eventually(out.text, "5s").Should(Equal(events(1, 2)))
			for _, p := range path {
				Expect(b.gateway.Tracker().Avoided(p.ID)).To(Equal(p.ID == refused), p.ID)
			}
			cancel()
			Eventually(done, "5s").Should(Receive())
		})
	})

	It("is used again after an answer to a stall query", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			first := b.client.sent()[0].ID
			b.gateway.Tracker().RecordSilence(first, "silent")
			b.advance(stallWait + 50*time.Millisecond)
			Expect(b.client.stallQueries()).To(Equal(1))
			Eventually(func() bool { return b.gateway.Tracker().Avoided(first) }, "5s").Should(BeFalse())
			end()
		})
	})

	// Guards against new streams that are sent to a silent endpoint, since one that can't be sent
	// elsewhere still asks it.
	It("isn't used again after stall queries without an answer", func() {
		withGateway(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].Resumable = false
			}
			b.source.view.Index = fleet.NewIndex(cfg)
			end := b.streamInFlight()
			first := b.client.sent()[0].ID
			b.client.setStallErr(errReset)
			b.advance(stallWait - 50*time.Millisecond)
			b.gateway.Tracker().RecordSilence(first, "silent")
			b.advance(300 * time.Millisecond)
			Expect(b.client.stallQueries()).To(BeNumerically(">=", unresponsiveAfter))
			Expect(b.gateway.Tracker().Silent(first)).To(BeTrue())
			Expect(b.gateway.Tracker().Avoided(first)).To(BeTrue())
			end()
		})
	})
})
