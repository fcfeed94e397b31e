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
}

// NewIndex returns the index of a valid configuration.
func NewIndex(cfg *Configuration) *Index {
	x := &Index{
		cfg:      cfg,
		routes:   make(map[routeKey]*Route, len(cfg.Routes)),
		services: make(map[string]*Service, len(cfg.Services)),
		accounts: map[string]*Account{},
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
