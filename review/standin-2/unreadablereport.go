package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// unreadableID is the id of the status report that another writer sends, as it stands in the
// path: the byte 0xff is no text.
const unreadableID = "i-%ff"

// watchTime is for how long requests are judged after a config is due everywhere.
const watchTime = 8 * time.Second

// unreadableReport: another writer sends each daemon that serves control one status report, whose
// service isn't named in any config and whose id holds a byte that can't be read. Then the operator
// moves a route to another service. Later than config_apply_ms after the acknowledgement no
// request may run at the old service.
func unreadableReport(s *system, trouble bool) error {
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
	moved := moment{}
	onRun := func(e *server, r *http.Request) {
		id := r.Header.Get("Request-Id")
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.rec.line("server %s of %s runs %s %s from %s", e.id, e.service, r.URL.Path, id, from)
		ackedAt := moved.get()
		sentAt, known := callers.sent(id)
		if ackedAt.IsZero() || !known || e.service != service || !strings.HasPrefix(r.URL.Path, "/safe/") {
			return
		}
		m := s.byIP(from)
		if m == nil || sentAt.Sub(ackedAt) <= configApply {
			return
		}
		if time.Since(s.calmSince(m)) > contact && time.Since(s.coreCalmSince()) > contact {
			s.rec.breaks("request %s, sent %.3f s after the config that moved its route to %s was acknowledged, is run by %s, sent on by %s, in touch",
				id, sentAt.Sub(ackedAt).Seconds(), otherService, e.service, m.name)
		}
	}
	for n := range 6 {
		e := &server{
			rec: s.rec, id: fmt.Sprintf("i-%d", n), service: service, zone: zones[n%len(zones)],
			address:  fmt.Sprintf("%s.%d:%d", s.network, 100+n, 18426),
			controls: func() []string { return append([]string(nil), controls...) },
			onRun:    onRun,
		}
		if n >= 3 {
			e.service = otherService
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
		writer := &server{
			service: "of-another-writer", zone: zones[0], address: fmt.Sprintf("%s.120:18426", s.network), born: time.Now().UnixMilli(),
			client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		}
		for _, a := range controls {
			body := writer.report("ready")
			ok := writer.post(a, names["heartbeat"]+unreadableID, body)
			s.rec.line("another writer sends %s a status report of %s: %s; acknowledged %v", a, unreadableID, body, ok)
		}
	}
	if !replaceConfig(controls, config(11, otherService, false), time.Now().Add(20*time.Second)) {
		return fmt.Errorf("the second config was not acknowledged")
	}
	moved.set(time.Now())
	s.rec.line("config 11, which moves the safe route to %s, is acknowledged", otherService)
	time.Sleep(configApply)
	before := callers.count()
	time.Sleep(watchTime)
	s.rec.line("answers by status since config 11 was due: %v", difference(callers.count(), before))
	return nil
}

// difference returns what was added to each count.
func difference(now, before map[int]int) map[int]int {
	out := map[int]int{}
	for status, n := range now {
		if d := n - before[status]; d > 0 {
			out[status] = d
		}
	}
	return out
}
