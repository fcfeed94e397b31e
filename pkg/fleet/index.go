package fleet

import (
	"net"
	"strings"
)

// Index looks up what a request needs from a configuration. It is immutable.
type Index struct {
	cfg      *Configuration
	routes   map[routeKey]*Route
	services map[string]*Service
	accounts map[string]*Account // by key
	ranked   map[string]bool     // services whose requests differ in rank
}

// NewIndex returns the index of a valid configuration.
func NewIndex(cfg *Configuration) *Index {
	x := &Index{
		cfg:      cfg,
		routes:   make(map[routeKey]*Route, len(cfg.Routes)),
		services: make(map[string]*Service, len(cfg.Services)),
		accounts: map[string]*Account{},
		ranked:   rankedServices(cfg),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		x.routes[routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix}] = r
	}
	for i := range cfg.Services {
		x.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		for _, k := range cfg.Accounts[i].Keys {
			x.accounts[k] = &cfg.Accounts[i]
		}
	}
	return x
}

// Version returns the configuration's version.
func (x *Index) Version() uint64 {
	return x.cfg.Version
}

// Limits returns the bounds of a caller's request.
func (x *Index) Limits() RequestLimits {
	return x.cfg.Limits
}

// HasAccounts reports whether requests must carry a key at all.
func (x *Index) HasAccounts() bool {
	return len(x.cfg.Accounts) > 0
}

// Route returns the route of host, with or without a port, that has the longest
// prefix of path; nil if there is none.
func (x *Index) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	for i := len(path); i > 0; {
		i = strings.LastIndexByte(path[:i], '/')
		if i < 0 {
			return nil
		}
		if r := x.routes[routeKey{host: host, prefix: path[:i+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (x *Index) Service(name string) *Service {
	return x.services[name]
}

// Ranked reports whether requests for a service differ in rank, by the priorities of its
// routes or of the client accounts. Only then some of them can give way to others.
func (x *Index) Ranked(service string) bool {
	return x.ranked[service]
}

// rankedServices returns the services whose requests differ in rank.
func rankedServices(cfg *Configuration) map[string]bool {
	ranked := map[string]bool{}
	accountsDiffer := false
	for i := range cfg.Accounts {
		accountsDiffer = accountsDiffer || cfg.Accounts[i].Priority != cfg.Accounts[0].Priority
	}
	priorities := map[string]int{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		for _, share := range r.Split {
			if share.Weight <= 0 {
				continue
			}
			first, seen := priorities[share.Service]
			if !seen {
				priorities[share.Service] = r.Priority
			}
			if accountsDiffer || seen && first != r.Priority {
				ranked[share.Service] = true
			}
		}
	}
	return ranked
}

// Services returns all services.
func (x *Index) Services() []Service {
	return x.cfg.Services
}

// Account returns the client account that holds key, or nil.
func (x *Index) Account(key string) *Account {
	return x.accounts[key]
}

// Pick returns the service that point selects by the weights of Split; point is
// in [0, 1).
func (r *Route) Pick(point float64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	remaining := point * float64(sum)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
