package bundle

import (
	"fmt"
	"sort"

	"github.com/larchwinch/larchwinch/pkg/check"
)

// Set is the active bundles of one revision, indexed for requests. It is
// immutable; a newer revision is a new Set.
type Set struct {
	revision         uint64
	bundles          []*Bundle
	models           map[string]Model
	pipelines        map[string]Pipeline
	services         map[string]Service
	accounts         map[string]Account
	accountNameByKey map[string]string
}

// NewSet returns the indexed bundles of a revision after validating the references
// between bundles and that names and keys are unique across them. The error is a
// *check.Problems.
func NewSet(revision uint64, bundles []*Bundle) (*Set, error) {
	s := &Set{
		revision:         revision,
		bundles:          append([]*Bundle(nil), bundles...),
		models:           map[string]Model{},
		pipelines:        map[string]Pipeline{},
		services:         map[string]Service{},
		accounts:         map[string]Account{},
		accountNameByKey: map[string]string{},
	}
	sort.Slice(s.bundles, func(i, j int) bool {
		return s.bundles[i].Name < s.bundles[j].Name
	})
	p := check.New("(all bundles)")
	for _, b := range s.bundles {
		s.index(b, p)
	}
	for _, b := range s.bundles {
		s.checkReferences(b, p)
	}
	if err := p.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Set) index(b *Bundle, p *check.Problems) {
	const allowed = "a name that no other bundle uses"
	for _, m := range b.Models {
		if _, taken := s.models[m.Name]; taken {
			p.Add(b.Name+".model."+m.Name, allowed, "another bundle has this model")
		}
		s.models[m.Name] = m
	}
	for _, l := range b.Pipelines {
		if _, taken := s.pipelines[l.Name]; taken {
			p.Add(b.Name+".pipeline."+l.Name, allowed, "another bundle has this pipeline")
		}
		s.pipelines[l.Name] = l
	}
	for _, v := range b.Services {
		if _, taken := s.services[v.Name]; taken {
			p.Add(b.Name+".service."+v.Name, allowed, "another bundle has this service")
		}
		s.services[v.Name] = v
	}
	for _, a := range b.Accounts {
		s.indexAccount(b, a, p)
	}
}

func (s *Set) indexAccount(b *Bundle, a Account, p *check.Problems) {
	if _, taken := s.accounts[a.Name]; taken {
		p.Add(b.Name+".account."+a.Name, "a name that no other bundle uses", "another bundle has this client account")
	}
	s.accounts[a.Name] = a
	for _, k := range a.KeySHA256 {
		if owner, taken := s.accountNameByKey[k]; taken && owner != a.Name {
			p.Add(b.Name+".account."+a.Name, "a key of its own", "client account %q has this key", owner)
		}
		s.accountNameByKey[k] = a.Name
	}
}

func (s *Set) checkReferences(b *Bundle, p *check.Problems) {
	for _, a := range b.Adapters {
		if _, ok := s.models[a.Model]; !ok {
			p.Add(fmt.Sprintf("%s.adapter.%s.model", b.Name, a.Name), "a model of some bundle", "no model %q", a.Model)
		}
	}
	for _, l := range b.Pipelines {
		m, ok := s.models[l.Model]
		at := fmt.Sprintf("%s.pipeline.%s", b.Name, l.Name)
		if !ok {
			p.Add(at+".model", "a model of some bundle", "no model %q", l.Model)
			continue
		}
		if l.MaxTokens > m.ContextTokens {
			p.Add(at+".max_tokens", fmt.Sprintf("1 to %d", m.ContextTokens), "%d is more than the model's context", l.MaxTokens)
		}
	}
}

// Revision returns the revision, which rises with every accepted bundle version.
func (s *Set) Revision() uint64 {
	return s.revision
}

// Bundles returns the bundles, sorted by name. The caller must not change them.
func (s *Set) Bundles() []*Bundle {
	return s.bundles
}

// Model returns the model of that name.
func (s *Set) Model(name string) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Pipeline returns the pipeline of that name.
func (s *Set) Pipeline(name string) (Pipeline, bool) {
	l, ok := s.pipelines[name]
	return l, ok
}

// Pipelines returns the names of all pipelines, sorted.
func (s *Set) Pipelines() []string {
	names := make([]string, 0, len(s.pipelines))
	for name := range s.pipelines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Service returns the service of that name.
func (s *Set) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Account returns the client account of that name.
func (s *Set) Account(name string) (Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// AccountByKey returns the client account that holds the key.
func (s *Set) AccountByKey(key string) (Account, bool) {
	name, ok := s.accountNameByKey[KeyDigest(key)]
	if !ok {
		return Account{}, false
	}
	return s.Account(name)
}
