// Package hostlist is a fake of the platform's list of live and leaving hosts,
// which lags behind the actual list.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// SetPath is the HTTP path that sets the actual list, an api.HostList.
const SetPath = "/standin/hosts"

type change struct {
	at   time.Time
	list api.HostList
}

// List is a running fake. It publishes each change once the change is older than
// lag.
type List struct {
	svc timer.Service
	lag time.Duration

	mu        sync.Mutex
	changes   []change
	published api.HostList
}

// New returns a list that publishes first at once, and later changes after lag.
func New(svc timer.Service, lag time.Duration, first api.HostList) *List {
	return &List{
		svc:       svc,
		lag:       lag,
		published: first,
	}
}

// Set changes the actual list.
func (l *List) Set(list api.HostList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{
		at:   l.svc.Now(),
		list: list,
	})
}

// Shown returns the published list.
func (l *List) Shown() api.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.svc.Now()
	for len(l.changes) > 0 && now.Sub(l.changes[0].at) >= l.lag {
		l.published = l.changes[0].list
		l.changes = l.changes[1:]
	}
	return l.published
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.HostListPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l.Shown()) // it fails only if the caller has disconnected
	})
	mux.HandleFunc("POST "+SetPath, func(w http.ResponseWriter, r *http.Request) {
		list := api.HostList{}
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(list)
	})
	return mux
}
