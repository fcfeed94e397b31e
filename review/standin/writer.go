package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// otherWriter has another writer send one status report that a server didn't send: a copy of
// the report of a server of the ledger, with another service, and with a field of another type.
// Such a report names no server to use. Then clients send requests to the routes of the app.
func otherWriter(s *system, trouble bool) (bool, error) {
	o := newOperator(s)
	stop, err := begin(s, o)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	v, err := startServer(s, ledger, 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer v.stop()
	time.Sleep(contact)
	if trouble {
		report := v.report()
		report["service"] = service
		report["stage"] = 7
		report["seq"] = time.Now().UnixMilli() // it counts in its own way
		body, err := json.Marshal(report)
		if err != nil {
			return false, err
		}
		for _, address := range s.controlAddresses() {
			resp, err := http.Post("http://"+address+names["heartbeat"]+v.id, "application/json", bytes.NewReader(body))
			if err != nil {
				return false, err
			}
			_ = resp.Body.Close()
			s.rec.note("another writer: %s at %s: %d", body, address, resp.StatusCode)
		}
	}
	c := newCaller(s)
	var g sync.WaitGroup
	var foreign atomic.Int64
	for range 20 {
		for n := range 24 {
			g.Go(func() {
				if id, _ := c.send(n%3+1, "/unsafe/x"); v.ran(id) > 0 {
					s.rec.note("request %s of the app ran at server %s of the ledger", id, v.id)
					foreign.Add(1)
				}
			})
		}
		g.Wait()
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.note("%d of 480 requests of the app ran at the ledger", foreign.Load())
	return foreign.Load() == 0, nil
}
