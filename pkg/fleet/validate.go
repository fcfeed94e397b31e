package fleet

import (
	"strings"

	"github.com/go-faster/errors"
)

// Validate returns the first reason why a configuration is invalid.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return errors.New("version is missing or 0")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return errors.Errorf("service %q has no name or stands twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateAccounts()
}

type routeKey struct {
	host   string
	prefix string
}

func (c *Configuration) validateRoutes(services map[string]bool) error {
	seen := map[routeKey]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := routeKey{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}
		if other, taken := seen[key]; taken {
			return errors.Errorf("routes %q and %q share host and prefix", other, r.Name)
		}
		seen[key] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: host or prefix is missing", r.Name)
	}
	if r.Timeout <= 0 {
		return errors.Errorf("route %q: the time-out is 0", r.Name)
	}
	sum := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return errors.Errorf("route %q: no service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("route %q: negative weight", r.Name)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return errors.Errorf("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (c *Configuration) validateAccounts() error {
	names := map[string]bool{}
	owners := map[string]string{}
	for _, a := range c.Accounts {
		if a.Name == "" || names[a.Name] {
			return errors.Errorf("client account %q has no name or stands twice", a.Name)
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if other, taken := owners[k]; taken && other != a.Name {
				return errors.Errorf("client accounts %q and %q share a key", other, a.Name)
			}
			owners[k] = a.Name
		}
	}
	return nil
}
