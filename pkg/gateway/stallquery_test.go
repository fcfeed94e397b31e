package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// queryClient counts stall queries, and answers each one with the next error or nil
// from results.
type queryClient struct {
	EndpointClient
	queries atomic.Int64
	results chan error
	notices []fleet.Notice
}

func (b *queryClient) QueryStalls(context.Context, string) (StallReport, error) {
	b.queries.Add(1)
	err := <-b.results
	return StallReport{Addresses: map[string]string{"r1": "x:1"}, Notice: fleet.Notice{Leaving: true}}, err
}

// withStallQuerier runs f on a querier whose queries wait for results.
func withStallQuerier(f func(a *stallQuerier, b *queryClient, clock *timer.Manual)) {
	b := &queryClient{
		results: make(chan error, 10),
	}
	clock := timer.NewManual(time.Unix(1000, 0))
	f(newStallQuerier(&fakeQueryPolicy{backoffs: backoff.New(clock), client: b}, b, clock), b, clock)
}

// fakeQueryPolicy admits queries to endpoints that are not in backoff, and records the
// notices in answers.
type fakeQueryPolicy struct {
	backoffs *backoff.Tracker
	client   *queryClient
}

func (l *fakeQueryPolicy) admitQuery(id string) bool { return l.backoffs.TryAcquire(id) }

func (l *fakeQueryPolicy) observeQueryAnswer(_, _ string, r StallReport, _ time.Time) {
	l.client.notices = append(l.client.notices, r.Notice)
}

var _ = Describe("stall queries", func() {
	It("are sent to an endpoint one at a time, and each serves all streams that ask meanwhile or shortly after", func() {
		withStallQuerier(func(q *stallQuerier, b *queryClient, clock *timer.Manual) {
			g := group.New(context.Background())
			answers := make(chan *stallQuery, 20)
			for range 20 {
				g.Go(func(ctx context.Context) {
					answers <- q.query(ctx, "s", "x", "x:1")
				})
			}
			Eventually(b.queries.Load, "5s").Should(Equal(int64(1)))
			b.results <- nil
			g.Wait()
			for range 20 {
				Expect((<-answers).report.Addresses).To(HaveKey("r1"))
			}
			Expect(b.queries.Load()).To(Equal(int64(1)))
			clock.Advance(answerReuse)
			b.results <- nil
			q.query(context.Background(), "s", "x", "x:1")
			Expect(b.queries.Load()).To(Equal(int64(2)), "an old answer is not reused")
			b.results <- nil
			q.query(context.Background(), "s", "y", "y:1")
			Expect(b.queries.Load()).To(Equal(int64(3)), "another endpoint needs a query of its own")
		})
	})

	It("have their notice recorded once each, also if the answer is an error or the stream that asked has ended", func() {
		withStallQuerier(func(q *stallQuerier, b *queryClient, clock *timer.Manual) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			b.results <- nil
			q.query(ctx, "s", "x", "x:1")
			q.query(ctx, "s", "x", "x:1") // the same answer
			Expect(b.notices).To(Equal([]fleet.Notice{{Leaving: true}}))
			clock.Advance(answerReuse)
			b.results <- errors.New("status 500")
			q.query(ctx, "s", "x", "x:1")
			Expect(b.notices).To(HaveLen(2))
		})
	})

	It("mark an endpoint as unresponsive after several unanswered ones in a row", func() {
		withStallQuerier(func(q *stallQuerier, b *queryClient, clock *timer.Manual) {
			cases := []struct {
				name string
				err  error
				lost bool
			}{
				{"a single one may be lost", errors.New("timeout"), false},
				{"answered", nil, false},
				{"unanswered again", errors.New("timeout"), false},
				{"two unanswered in a row", errors.New("timeout"), true},
			}
			for _, c := range cases {
				b.results <- c.err
				Expect(q.query(context.Background(), "s", "x", "x:1").unresponsive()).To(Equal(c.lost), c.name)
				clock.Advance(answerReuse)
			}
		})
	})
})
