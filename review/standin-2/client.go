package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callers send requests to the system: they ask the directory where to go, and retry nothing.
type callers struct {
	rec         *record
	directories []string
	client      *http.Client

	mu        sync.Mutex
	addresses []string
	sentAt    map[string]time.Time // by request
	answers   map[int]int          // by status; 0: none
	extra     bool                 // the third route is there
	onAnswer  func(path string, sentAt time.Time, status int)
	next      int
}

func newCallers(rec *record, directories []string) *callers {
	return &callers{
		rec:         rec,
		directories: directories,
		client:      &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}},
		sentAt:      map[string]time.Time{},
		answers:     map[int]int{},
	}
}

// resolve asks daemons for the addresses of edge daemons.
func (c *callers) resolve() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(c.directories))[:3] {
		resp, err := client.Get("http://" + c.directories[i] + names["resolve"] + "?name=" + host + "&region=r&zone=z-a")
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(list.Addresses) > 0 {
			c.mu.Lock()
			c.addresses = list.Addresses
			c.mu.Unlock()
			return
		}
	}
}

// run sends perSecond requests a second until ctx ends.
func (c *callers) run(ctx context.Context, perSecond float64) {
	wg := &sync.WaitGroup{}
	defer wg.Wait()
	asked := time.Time{}
	for ctx.Err() == nil {
		if time.Since(asked) > 2*time.Second {
			asked = time.Now()
			wg.Go(c.resolve)
		}
		wg.Go(c.send)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
		}
	}
}

// poison sends the request that crashes servers once more: with another id, but the same path, caller
// and body.
func (c *callers) poison() {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%012x%04x", time.Now().UnixNano()&0xffffffffffff, c.next)
	address := c.addresses[rand.IntN(len(c.addresses))]
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+poisonPath, strings.NewReader("the body that crashes"))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set(names["deadline"], "3000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	status := 0
	resp, err := c.client.Do(r)
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	c.rec.line("client: the request that crashes servers, %s to %s: status %d", id, address, status)
}

// send sends one request, of either route.
func (c *callers) send() {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%012x%04x", time.Now().UnixNano()&0xffffffffffff, c.next)
	if len(c.addresses) == 0 {
		c.mu.Unlock()
		return
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	method, path, body := http.MethodPost, "/unsafe/"+id, strings.Repeat("x", 600)
	if rand.IntN(3) == 0 {
		method, path, body = http.MethodGet, "/safe/"+id, ""
	}
	if c.callsExtra() && rand.IntN(3) == 0 {
		method, path, body = http.MethodGet, "/extra/"+id, ""
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set(names["deadline"], "3000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	status := 0
	resp, err := c.client.Do(r)
	if err == nil {
		status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			status = 0
		}
		_ = resp.Body.Close()
	}
	c.rec.line("client: %s %s to %s: status %d, error %v", method, id, address, status, err)
	c.mu.Lock()
	c.answers[status]++
	at := c.sentAt[id]
	c.mu.Unlock()
	if c.onAnswer != nil {
		c.onAnswer(path, at, status)
	}
}

// callExtra begins to send requests to the third route.
func (c *callers) callExtra() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extra = true
}

func (c *callers) callsExtra() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extra
}

// sent returns when a request was sent.
func (c *callers) sent(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sentAt[id]
	return at, ok
}

// served returns how many requests were answered with 200 so far.
func (c *callers) served() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[http.StatusOK]
}

// count returns how many requests were answered so far, by status; 0: no answer.
func (c *callers) count() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.answers)
}

// moment is a time that is set once something has happened. It is safe for concurrent use.
type moment struct {
	mu sync.Mutex
	at time.Time
}

func (m *moment) set(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = at
}

func (m *moment) get() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}
