package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
)

// silenceReviewInterval is how often this host's list of endpoints is searched for those that fell
// silent, beside each change of the list.
const silenceReviewInterval = time.Second

// recordSilence records that the endpoint of a send is silent. That is no evidence of a crash until
// something shows that the incarnation has ended.
func (g *Gateway) recordSilence(j *job, c crashedSend) {
	request, parts := g.crashOf(j, c)
	g.silences.Add(quarantine.Silence{
		ID:        c.endpoint,
		Address:   c.address,
		Service:   j.service.Name,
		At:        g.svc.Now(),
		Request:   request,
		Parts:     parts,
		RequestID: j.req.ID,
	})
	if !g.reviewingSilences.CompareAndSwap(false, true) {
		return
	}
	g.background.Go(g.reviewSilences)
}

// reviewSilences compares the endpoints that fell silent with the list of endpoints, until it is known
// for all of them whether they crashed.
func (g *Gateway) reviewSilences(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.source.Changed()
		again := g.svc.After(silenceReviewInterval)
		if !g.reviewSilencesOnce() {
			g.reviewingSilences.Store(false)
			if len(g.silences.List()) == 0 || !g.reviewingSilences.CompareAndSwap(false, true) {
				return
			}
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
		}
	}
}

// reviewSilencesOnce reports whether it isn't known yet of any endpoint whether it crashed.
func (g *Gateway) reviewSilencesOnce() bool {
	list := g.silences.List()
	done := map[string]bool{}
	for i := range list {
		one := &list[i]
		if done[one.ID] {
			continue
		}
		done[one.ID] = true
		self, successor := findIncarnation(g.source.Endpoints(one.Service), one.ID, one.Address)
		switch {
		case successor:
			g.confirmCrash(one.ID)
		case self != nil:
			g.silences.Drop(one.ID, self.LastHeartbeat)
		case g.source.EndpointLeaving(one.ID):
			g.silences.Drop(one.ID, g.svc.Now().Add(time.Nanosecond))
		default:
			g.confirmCrash(one.ID)
		}
	}
	return len(g.silences.List()) > 0
}

// findIncarnation returns an incarnation in a list, nil if it isn't there, and whether there is one that
// must have replaced it: at its address, or a later start of the same endpoint.
func findIncarnation(list []fleet.Endpoint, id, address string) (self *fleet.Endpoint, successor bool) {
	own, startedAt := fleet.SplitIncarnation(id)
	for i := range list {
		e := &list[i]
		if e.ID == id {
			self = e
			continue
		}
		otherOwn, otherStart := fleet.SplitIncarnation(e.ID)
		sameEndpoint := otherOwn == own || e.Address == address
		if sameEndpoint && (startedAt == 0 || otherStart == 0 || otherStart > startedAt) {
			successor = true
		}
	}
	return self, successor
}

// confirmCrash records the crash of an incarnation for the sends that were given up while it was silent.
func (g *Gateway) confirmCrash(id string) {
	for _, one := range g.silences.Take(id) {
		g.reportCrash(one.Address, one.RequestID, one.Request, one.Parts)
	}
}

// endpointHeard records that an incarnation took a call that was sent at a given time: it had not
// crashed before then.
func (g *Gateway) endpointHeard(id string, sent time.Time) {
	g.silences.Drop(id, sent)
	g.quarantine.Retract(fleet.LoadKey(id), sent)
}

// recordHeard records that the first endpoint of the path answered the current send. An engine that
// restarted holds no layers, and answers only once control hosts have listed it and placed some.
func (s *streamRun) recordHeard() {
	if s.j.service.Engine != nil {
		s.g.endpointHeard(s.path[0].ID, s.sentAt)
	}
}

// recordRefused records that a connection to an endpoint failed: if it was refused, nothing listens at
// the endpoint's address any more.
func (g *Gateway) recordRefused(id string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.confirmCrash(id)
	}
}
