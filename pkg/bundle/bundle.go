// Package bundle is the data model of what operators declare: models, adapters,
// pipelines, services and client accounts, as versions of named bundles.
// It depends on no process, storage or network.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Bundle is one version of a named bundle as its TOML text declares it.
//
// Invariant: a Bundle returned by Parse has passed every check that needs no
// other bundle; NewSet does those that do.
type Bundle struct {
	Name      string     `toml:"name"`
	Version   uint64     `toml:"version"`
	Parent    string     `toml:"parent"`
	Models    []Model    `toml:"model"`
	Adapters  []Adapter  `toml:"adapter"`
	Pipelines []Pipeline `toml:"pipeline"`
	Services  []Service  `toml:"service"`
	Accounts  []Account  `toml:"account"`
}

// Model is a language model whose layers are distributed over endpoints.
type Model struct {
	Name          string `toml:"name"`
	Version       string `toml:"version"`
	Layers        int    `toml:"layers"`
	LayerMB       int    `toml:"layer_mb"`
	ContextTokens int    `toml:"context_tokens"`
}

// Adapter is a small set of weights that changes a model.
type Adapter struct {
	Name   string `toml:"name"`
	Model  string `toml:"model"`
	SizeMB int    `toml:"size_mb"`
}

// Pipeline is a model with an adapter, priority and token limit, which callers
// request by its name.
type Pipeline struct {
	Name      string `toml:"name"`
	Model     string `toml:"model"`
	Adapter   string `toml:"adapter"`
	Priority  int    `toml:"priority"`
	MaxTokens int    `toml:"max_tokens"`
	Once      bool   `toml:"once"`
}

// Service is a service whose endpoints aren't model engines.
type Service struct {
	Name        string   `toml:"name"`
	BodyLimitKB int      `toml:"body_limit_kb"`
	OncePaths   []string `toml:"once_paths"`
}

// Account is a client account with its keys and limits.
type Account struct {
	Name              string   `toml:"name"`
	KeySHA256         []string `toml:"key_sha256"`
	Weight            int      `toml:"weight"`
	RequestsPerSecond int      `toml:"requests_per_second"`
	TokensPerSecond   int      `toml:"tokens_per_second"`
	Concurrent        int      `toml:"concurrent"`
}

// Priorities range from 0, for batch work, to 9, which is served first.
const (
	MinPriority = 0
	MaxPriority = 9
)

// Digest returns the digest that identifies a version: the SHA-256 of its text.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// KeyDigest returns the digest under which the key of a client account or an
// operator is stored.
func KeyDigest(key string) string {
	return Digest([]byte(key))
}
