package fleetcontrol

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withServer runs f on a control host whose Run isn't called and whose endpoints answer
// by report, and on the group in which its probes run.
func withServer(report func(id string) (placement.Report, error), f func(s *Server, g *group.Group)) {
	g := group.New(context.Background())
	defer g.Stop()
	f(New(Config{
		SeedIPs:      func() []string { return nil },
		Heartbeat:    time.Second,
		Reachability: reachesAll{},
		Orders:       fakeEndpoints{report: report},
		Timer:        timer.NewManual(time.Unix(1000, 0)),
		Metrics:      metrics.New(),
	}, g), g)
}

var _ = Describe("a probe of an endpoint", func() {
	It("doesn't mark it as silent if it answers without a status", func() {
		cases := []struct {
			err    error
			silent bool
		}{
			{placement.ErrNoReport, false},
			{errors.New("connection refused"), true},
		}
		for _, c := range cases {
			withServer(func(string) (placement.Report, error) { return placement.Report{}, c.err }, func(s *Server, g *group.Group) {
				s.table.Announce(announcement(false, 1))
				s.probeSuspected([]string{"e1"})
				g.Wait()
				e, _ := s.table.Get("e1")
				Expect(e.Silent).To(Equal(c.silent), c.err.Error())
			})
		}
	})
})

// reachesNone is the Reachability of a host that is cut off from all endpoints.
type reachesNone struct{}

func (reachesNone) ReachesOthers(context.Context, string) bool { return false }
func (reachesNone) Lost(context.Context, string) bool          { return true }
func (reachesNone) Isolated() bool                             { return true }

// losesOne is the Reachability of a host that reaches all endpoints but the probed one.
type losesOne struct {
	reachesAll
}

func (losesOne) Lost(context.Context, string) bool { return true }

// Guards against weights that are loaded anew because an endpoint paused.
var _ = Describe("an endpoint whose probes time out", func() {
	It("is silent, and paused if it accepts connections", func() {
		silent := func(string) (placement.Report, error) {
			time.Sleep(probeTimeout + 50*time.Millisecond)
			return placement.Report{}, errors.New("no answer")
		}
		for _, r := range []Reachability{reachesAll{}, losesOne{}} {
			withServer(silent, func(s *Server, g *group.Group) {
				s.cfg.Reachability = r
				s.table.Announce(announcement(false, 1))
				for range maxMissedProbes {
					s.probeSuspected([]string{"e1"})
					g.Wait()
				}
				e, _ := s.table.Get("e1")
				Expect(e.Silent).To(BeTrue())
				_, paused := s.table.Silence("e1")
				Expect(paused).To(Equal(r == reachesAll{}))
			})
		}
	})

	// Guards against an endpoint that is found silent at the end of its pause, and avoided until its
	// next heartbeat; and against one that is lost and found later because another replica passed an
	// older heartbeat on.
	It("isn't silent if a heartbeat was received since the last of them was sent", func() {
		for _, passedOn := range []bool{false, true} {
			var s *Server
			withServer(func(string) (placement.Report, error) {
				time.Sleep(probeTimeout + 50*time.Millisecond)
				e := announcement(false, 2)
				if passedOn {
					e.LastHeartbeat = s.cfg.Timer.Now()
				}
				s.cfg.Timer.(*timer.Manual).Advance(time.Millisecond)
				if passedOn {
					s.table.Merge([]fleet.Endpoint{e})
				} else {
					s.table.Announce(e)
				}
				return placement.Report{}, errors.New("no answer")
			}, func(server *Server, g *group.Group) {
				s = server
				s.table.Announce(announcement(false, 1))
				s.cfg.Timer.(*timer.Manual).Advance(time.Second)
				s.probes.missed("e1")
				s.probeSuspected([]string{"e1"})
				g.Wait()
				e, _ := s.table.Get("e1")
				Expect(e.Silent).To(Equal(passedOn))
			})
		}
	})

	It("isn't paused if a later probe fails otherwise", func() {
		withServer(func(string) (placement.Report, error) { return placement.Report{}, errors.New("connection refused") }, func(s *Server, g *group.Group) {
			s.table.Announce(announcement(false, 1))
			s.table.MarkPaused("e1")
			s.probeSuspected([]string{"e1"})
			g.Wait()
			_, paused := s.table.Silence("e1")
			Expect(paused).To(BeFalse())
			e, _ := s.table.Get("e1")
			Expect(e.Silent).To(BeTrue())
		})
	})
})

// Guards against a leader that is cut off from the endpoints, marks them all as silent, and
// so takes them from hosts that reach them.
var _ = Describe("a leader that reaches no endpoint", func() {
	It("marks none as silent", func() {
		for _, timesOut := range []bool{false, true} {
			withServer(func(string) (placement.Report, error) {
				if timesOut {
					time.Sleep(probeTimeout)
				}
				return placement.Report{}, errors.New("not reached")
			}, func(s *Server, g *group.Group) {
				s.cfg.Reachability = reachesNone{}
				s.table.Announce(announcement(false, 1))
				for range maxMissedProbes + 1 {
					s.probeSuspected([]string{"e1"})
					g.Wait()
				}
				e, _ := s.table.Get("e1")
				Expect(e.Silent).To(BeFalse())
				s.cfg.Reachability = reachesAll{}
				s.probeSuspected([]string{"e1"})
				g.Wait()
				e, _ = s.table.Get("e1")
				Expect(e.Silent).To(BeTrue())
			})
		}
	})
})
