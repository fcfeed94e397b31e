package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// steadyTime is for how long the requests of the added route are counted.
const steadyTime = 20 * time.Second

// tally counts the requests of a route and how many of them were served.
type tally struct{ sent, served int }

// share returns the share that was served.
func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// namedAddress: another writer sends status reports whose service isn't named in any config, with
// the addresses of the sound servers of one service. Then the operator adds a route to that service.
// Its requests must be served a quarter as often, at least, as those of the first routes.
func namedAddress(s *system, trouble bool) error {
	if err := s.startAll(); err != nil {
		return err
	}
	var controls, directories []string
	for _, m := range s.machines {
		controls = append(controls, m.address(controlPort))
		directories = append(directories, m.address(directoryPort))
	}
	callers := newCallers(s.rec, directories)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	first, added := tally{}, tally{}
	due := moment{}
	callers.onAnswer = func(path string, sentAt time.Time, status int) {
		if from := due.get(); from.IsZero() || sentAt.Before(from) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		t := &first
		if strings.HasPrefix(path, "/extra/") {
			t = &added
		}
		t.sent++
		if status == http.StatusOK {
			t.served++
		}
	}
	var others []*server
	for n := range 6 {
		e := &server{
			rec: s.rec, id: fmt.Sprintf("i-%d", n), service: service, zone: zones[n%len(zones)],
			address:  fmt.Sprintf("%s.%d:%d", s.network, 100+n, 18426),
			controls: func() []string { return append([]string(nil), controls...) },
			onRun: func(e *server, r *http.Request) {
				s.rec.line("server %s of %s runs %s", e.id, e.service, r.URL.Path)
			},
		}
		if n >= 3 {
			e.service = otherService
			others = append(others, e)
		}
		if err := e.listen(); err != nil {
			return err
		}
		defer func() { _ = e.http.Close() }()
		go e.beats(ctx)
	}
	if !replaceConfig(controls, config(7, service, false), time.Now().Add(20*time.Second)) {
		return fmt.Errorf("the first config was not acknowledged")
	}
	s.rec.line("config 7 is acknowledged")
	go callers.run(ctx, 40)
	if !awaitServed(callers, 200, 20*time.Second) {
		return fmt.Errorf("no requests are served")
	}
	time.Sleep(contact)

	if trouble {
		for n, e := range others {
			writer := &server{
				service: "of-another-writer", zone: e.zone, address: e.address, born: time.Now().UnixMilli(),
				client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
			}
			id := fmt.Sprintf("w-%d", n)
			for _, a := range controls {
				body := writer.report("ready")
				ok := writer.post(a, names["heartbeat"]+id, body)
				s.rec.line("another writer sends %s a status report of %s: %s; acknowledged %v", a, id, body, ok)
			}
		}
	}
	time.Sleep(2 * contact)
	if !replaceConfig(controls, config(11, service, true), time.Now().Add(20*time.Second)) {
		return fmt.Errorf("the second config was not acknowledged")
	}
	s.rec.line("config 11, which adds a route to %s, is acknowledged", otherService)
	time.Sleep(configApply)
	due.set(time.Now())
	callers.callExtra()
	time.Sleep(steadyTime)
	mu.Lock()
	defer mu.Unlock()
	s.rec.line("first routes: %d sent, %d served; added route: %d sent, %d served", first.sent, first.served, added.sent, added.served)
	if first.sent < 20 || added.sent < 20 || first.served == 0 {
		return fmt.Errorf("too few requests for a judgement")
	}
	if added.share() < first.share()/4 {
		s.rec.breaks("of %d requests on the route that was added later %d are served, and of %d on the first routes %d",
			added.sent, added.served, first.sent, first.served)
	}
	return nil
}
