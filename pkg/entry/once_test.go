package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/standin/service"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const confirmPath = "/v1/services/staff-app/confirm"

func (e *entryHost) confirm(key, body string) response {
	return e.send(http.MethodPost, confirmPath, body, api.HeaderIdempotencyKey, key)
}

// confirmUntilSettled resends a confirmation until its claim is no longer in
// progress.
func (e *entryHost) confirmUntilSettled(key, body string) response {
	var g response
	Eventually(func() string {
		g = e.confirm(key, body)
		if g.status == http.StatusOK {
			return ""
		}
		return g.failure().Kind
	}, waitTimeout, 20*time.Millisecond).ShouldNot(Equal("in_progress"))
	return g
}

var _ = Describe("a request that must not be repeated", func() {
	It("runs at most once, whatever fails", func() {
		withSystem(3, 2, func(s *system) {
			a, b := s.entries[0], s.entries[1]

			By("a resend through another host gets the first answer")
			first := a.confirm("k1", "Mari")
			Expect(first.status).To(Equal(http.StatusOK), first.body)
			again := b.confirmUntilSettled("k1", "Mari")
			Expect(again.body).To(Equal(first.body))
			Expect(again.header.Get(api.HeaderRepeated)).To(Equal("true"))
			Expect(s.service.Runs("k1")).To(Equal(1))

			By("the same key with another body is refused")
			Expect(b.confirm("k1", "Juri").failure().Kind).To(Equal("key_reused"))

			By("forty concurrent requests with one key run it once")
			var mu sync.Mutex
			answers := map[string]int{}
			g := group.New(context.Background())
			for i := range 40 {
				g.Go(func(context.Context) {
					defer GinkgoRecover()
					r := s.entries[i%2].confirm("k2", "Mari")
					mu.Lock()
					defer mu.Unlock()
					if r.status == http.StatusOK {
						answers[r.body]++
						return
					}
					answers[r.failure().Kind]++
				})
			}
			g.Wait()
			Expect(s.service.Runs("k2")).To(Equal(1))
			for kind := range answers {
				if kind != "in_progress" {
					Expect(kind).To(ContainSubstring(`"run":1`))
				}
			}

			By("after a lost answer the outcome stays unknown")
			s.service.SetFault(service.Fault{DropAnswer: true})
			lost := a.confirm("k3", "Mari").failure()
			Expect(lost.Kind).To(Equal("endpoint_failed"))
			Expect(lost.Ran).To(Equal("unknown"))
			s.service.SetFault(service.Fault{})
			unknown := b.confirmUntilSettled("k3", "Mari").failure()
			Expect(unknown.Kind).To(Equal("outcome_unknown"))
			Expect(unknown.Ran).To(Equal("unknown"))
			Expect(s.service.Runs("k3")).To(Equal(1))

			By("a call whose connection broke before it ran has an unknown outcome too, since the entry host can't tell")
			s.service.SetFault(service.Fault{DropCall: true})
			Expect(a.confirm("k4", "Mari").failure().Ran).To(Equal("unknown"))
			s.service.SetFault(service.Fault{})
			Expect(b.confirmUntilSettled("k4", "Mari").failure().Kind).To(Equal("outcome_unknown"))
			Expect(s.service.Runs("k4")).To(BeZero())

			By("a generation is claimed too, and a resend gets its recorded text")
			body := strings.Replace(chatBody, "daily-note", "note-to-parents", 1)
			note := a.send(http.MethodPost, api.ChatPath, body, api.HeaderIdempotencyKey, "n1")
			Expect(parseSSE(note.body).done).To(BeTrue(), note.body)
			var repeat response
			Eventually(func() int {
				repeat = b.send(http.MethodPost, api.ChatPath, body, api.HeaderIdempotencyKey, "n1")
				return repeat.status
			}, waitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
			Expect(repeat.body).To(ContainSubstring(strings.TrimSpace(parseSSE(note.body).text)))
			Expect(repeat.header.Get(api.HeaderRepeated)).To(Equal("true"))
			for _, e := range s.entries { // a recorded text has no first token
				h := e.metrics.Histogram("account_first_token_us", metrics.Label{Name: "account", Value: "haabersti"})
				Expect(h.Min()).To(BeNumerically(">=", 0))
			}

			By("claims survive the loss of the leader's connections")
			leader := s.leader()
			s.rpc[leader].setDisconnected(true)
			Eventually(func() string {
				return b.confirm("k1", "Mari").body
			}, waitTimeout, 50*time.Millisecond).Should(Equal(first.body))
			s.rpc[leader].setDisconnected(false)

			By("without a control majority nothing is sent, and the caller gets control_unavailable")
			for i := range s.rpc {
				s.rpc[i].setDisconnected(true)
			}
			refused := a.confirm("k5", "Mari").failure()
			Expect(refused.Kind).To(Equal("control_unavailable"))
			Expect(refused.Ran).To(Equal("no"))
			Expect(refused.RetryAfterMS).To(BeNumerically(">", 0))
			Expect(s.service.Runs("k5")).To(BeZero())
			for i := range s.rpc {
				s.rpc[i].setDisconnected(false)
			}
			Eventually(func() int {
				return a.confirm("k5", "Mari").status
			}, waitTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
			Expect(s.service.Runs("k5")).To(Equal(1))

			By("a call to an unreachable service did not run, and its key is free again")
			_ = s.services.server.Close() // closed on purpose
			unreachable := a.confirm("k6", "Mari").failure()
			Expect(unreachable.Ran).To(Equal("no"), fmt.Sprint(unreachable))
			Eventually(func() string {
				return b.confirm("k6", "Mari").failure().Ran
			}, waitTimeout, 50*time.Millisecond).Should(Equal("no"))
		})
	})
})

// leader returns the index of the control host that holds the leader's lease.
func (s *system) leader() int {
	index := -1
	Eventually(func() int {
		for i, c := range s.control {
			if c.Node().HoldsLease() {
				index = i
			}
		}
		return index
	}, waitTimeout, 20*time.Millisecond).ShouldNot(Equal(-1))
	return index
}
