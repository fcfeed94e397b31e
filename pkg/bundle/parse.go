package bundle

import (
	"fmt"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/check"
)

const (
	maxLayers            = 512
	maxLayerMB           = 65536
	maxContextTokens     = 1 << 20
	maxWeight            = 1000
	maxRequestsPerSecond = 1_000_000
	maxTokensPerSecond   = 100_000_000
	maxConcurrent        = 1_000_000
	maxBodyKB            = 64 * 1024
)

// Parse decodes and validates a bundle's text. The error is a *check.Problems with
// every problem; file is the name under which they are reported.
func Parse(file string, text []byte) (*Bundle, error) {
	p := check.New(file)
	b := &Bundle{}
	if !p.Decode(text, b) {
		return nil, p.Err()
	}
	b.check(p)
	if err := p.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Bundle) check(p *check.Problems) {
	p.Name("name", b.Name)
	if b.Version == 0 {
		p.Add("version", "1 or more", "missing or 0")
	}
	b.checkParent(p)
	if len(b.Models)+len(b.Services)+len(b.Accounts)+len(b.Pipelines) == 0 {
		p.Add("(file)", "at least one model, pipeline, service or account", "the bundle is empty")
	}
	b.checkModels(p)
	b.checkAdapters(p)
	b.checkPipelines(p)
	b.checkServices(p)
	b.checkAccounts(p)
}

func (b *Bundle) checkParent(p *check.Problems) {
	if b.Version == 1 && b.Parent != "" {
		p.Add("parent", "no parent for version 1", "version 1 names a parent")
	}
	if b.Version > 1 {
		p.SHA256("parent", b.Parent)
	}
}

func (b *Bundle) checkModels(p *check.Problems) {
	seen := map[string]bool{}
	for i, m := range b.Models {
		at := fmt.Sprintf("model.%d.", i)
		p.Name(at+"name", m.Name)
		p.Unique(at+"name", m.Name, seen)
		p.Name(at+"version", m.Version)
		p.Range(at+"layers", m.Layers, 1, maxLayers)
		p.Range(at+"layer_mb", m.LayerMB, 1, maxLayerMB)
		p.Range(at+"context_tokens", m.ContextTokens, 1, maxContextTokens)
	}
}

func (b *Bundle) checkAdapters(p *check.Problems) {
	seen := map[string]bool{}
	for i, a := range b.Adapters {
		at := fmt.Sprintf("adapter.%d.", i)
		p.Name(at+"name", a.Name)
		p.Unique(at+"name", a.Name, seen)
		p.Name(at+"model", a.Model)
		p.Range(at+"size_mb", a.SizeMB, 1, maxLayerMB)
	}
}

func (b *Bundle) checkPipelines(p *check.Problems) {
	seen := map[string]bool{}
	for i, l := range b.Pipelines {
		at := fmt.Sprintf("pipeline.%d.", i)
		p.Name(at+"name", l.Name)
		p.Unique(at+"name", l.Name, seen)
		p.Name(at+"model", l.Model)
		p.Range(at+"priority", l.Priority, MinPriority, MaxPriority)
		p.Range(at+"max_tokens", l.MaxTokens, 1, maxContextTokens)
	}
}

func (b *Bundle) checkServices(p *check.Problems) {
	seen := map[string]bool{}
	for i, s := range b.Services {
		at := fmt.Sprintf("service.%d.", i)
		p.Name(at+"name", s.Name)
		p.Unique(at+"name", s.Name, seen)
		p.Range(at+"body_limit_kb", s.BodyLimitKB, 1, maxBodyKB)
		for j, path := range s.OncePaths {
			if !strings.HasPrefix(path, "/") {
				p.Add(fmt.Sprintf("%sonce_paths.%d", at, j), "a path that begins with /", "%q is no path", path)
			}
		}
	}
}

func (b *Bundle) checkAccounts(p *check.Problems) {
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range b.Accounts {
		at := fmt.Sprintf("account.%d.", i)
		p.Name(at+"name", a.Name)
		p.Unique(at+"name", a.Name, seen)
		if len(a.KeySHA256) == 0 {
			p.Add(at+"key_sha256", "the digest of at least one key", "missing")
		}
		for j, k := range a.KeySHA256 {
			key := fmt.Sprintf("%skey_sha256.%d", at, j)
			p.SHA256(key, k)
			p.Unique(key, k, keys)
		}
		p.Range(at+"weight", a.Weight, 1, maxWeight)
		p.Range(at+"requests_per_second", a.RequestsPerSecond, 1, maxRequestsPerSecond)
		p.Range(at+"tokens_per_second", a.TokensPerSecond, 1, maxTokensPerSecond)
		p.Range(at+"concurrent", a.Concurrent, 1, maxConcurrent)
	}
}
