package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rest"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// askBackend counts questions, and answers each when release lets it.
type askBackend struct {
	EndpointClient
	asked   atomic.Int64
	release chan error
	heard   []fleet.Notice
}

func (b *askBackend) QueryStalls(context.Context, string) (StallReport, error) {
	b.asked.Add(1)
	err := <-b.release
	return StallReport{Addresses: map[string]string{"r1": "x:1"}, Notice: fleet.Notice{Leaving: true}}, err
}

// withAsker runs f on an asker whose questions wait for release.
func withAsker(f func(a *asker, b *askBackend, clock *timer.Manual)) {
	b := &askBackend{
		release: make(chan error, 10),
	}
	clock := timer.NewManual(time.Unix(1000, 0))
	f(newAsker(&listener{rests: rest.New(clock), backend: b}, b, clock), b, clock)
}

// listener lets endpoints that don't rest be asked, and notes what they say.
type listener struct {
	rests   *rest.Tracker
	backend *askBackend
}

func (l *listener) mayAsk(id string) bool { return l.rests.TryAcquire(id) }

func (l *listener) asked(_, _ string, w fleet.Notice, _ time.Time) {
	l.backend.heard = append(l.backend.heard, w)
}

var _ = Describe("questions to endpoints", func() {
	It("are one at a time for an endpoint, and serve all who ask meanwhile or shortly after", func() {
		withAsker(func(a *asker, b *askBackend, clock *timer.Manual) {
			g := group.New(context.Background())
			answers := make(chan *question, 20)
			for range 20 {
				g.Go(func(ctx context.Context) {
					answers <- a.ask(ctx, "s", "x", "x:1")
				})
			}
			Eventually(b.asked.Load, "5s").Should(Equal(int64(1)))
			b.release <- nil
			g.Wait()
			for range 20 {
				Expect((<-answers).found.Addresses).To(HaveKey("r1"))
			}
			Expect(b.asked.Load()).To(Equal(int64(1)))
			clock.Advance(sharedFor)
			b.release <- nil
			a.ask(context.Background(), "s", "x", "x:1")
			Expect(b.asked.Load()).To(Equal(int64(2)), "an old answer serves nobody")
			b.release <- nil
			a.ask(context.Background(), "s", "y", "y:1")
			Expect(b.asked.Load()).To(Equal(int64(3)), "another endpoint is asked for itself")
		})
	})

	It("are heard once each, also where the answer is an error and whoever asked has left", func() {
		withAsker(func(a *asker, b *askBackend, clock *timer.Manual) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			b.release <- nil
			a.ask(ctx, "s", "x", "x:1")
			a.ask(ctx, "s", "x", "x:1") // the same answer
			Expect(b.heard).To(Equal([]fleet.Notice{{Leaving: true}}))
			clock.Advance(sharedFor)
			b.release <- errors.New("status 500")
			a.ask(ctx, "s", "x", "x:1")
			Expect(b.heard).To(HaveLen(2))
		})
	})

	It("count those in a row that stayed without an answer", func() {
		withAsker(func(a *asker, b *askBackend, clock *timer.Manual) {
			cases := []struct {
				what string
				err  error
				lost bool
			}{
				{"one may be lost on its way", errors.New("timeout"), false},
				{"an answer", nil, false},
				{"one again", errors.New("timeout"), false},
				{"two in a row", errors.New("timeout"), true},
			}
			for _, c := range cases {
				b.release <- c.err
				Expect(a.ask(context.Background(), "s", "x", "x:1").lost()).To(Equal(c.lost), c.what)
				clock.Advance(sharedFor)
			}
		})
	})
})
