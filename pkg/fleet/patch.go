package fleet

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// maxPatchWindow bounds how far back a patch may refer, in bytes. It covers base
// and new content of 4 MB each, the largest configurations that operators send.
const maxPatchWindow = 8 << 20

// MakePatch returns next compressed with base as the dictionary, so that a host that
// holds base needs only a few bytes for a small change. One changed route
// in 1,640 takes a few hundred bytes in place of 18 KB.
func MakePatch(base, next []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(0, base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(base)+len(next))),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	out := w.EncodeAll(next, nil)
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	return out, nil
}

// windowSize returns the smallest window that covers n bytes, a power of two of
// at most maxPatchWindow.
func windowSize(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < maxPatchWindow {
		w *= 2
	}
	return w
}

// ApplyPatch applies a patch to the base that it was made from and returns the new
// content.
func ApplyPatch(base, patch []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(0, base),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch")
	}
	defer r.Close()
	out, err := r.DecodeAll(patch, nil)
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch")
	}
	return out, nil
}

// ContentDigest returns the digest by which a host verifies the result of
// applying a patch.
func ContentDigest(content []byte) uint64 {
	return xxhash.Sum64(content)
}

// historySize is how many configurations a control host keeps, the newest
// included. A host is sent the newest at least every 0.5 s, and so is rarely more
// than three changes behind.
const historySize = 6

// History holds the newest configurations that a control host has seen, from
// which it makes patches. It is safe for concurrent use.
//
// Invariant: versions rise along entries; all patches lead to the newest one.
type History struct {
	mu      sync.Mutex
	entries []historyEntry
	patches map[uint64][]byte // by the version of their base
}

type historyEntry struct {
	version uint64
	content []byte
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		patches: map[uint64][]byte{},
	}
}

// Add adds a configuration, as compressed by Pack. One that isn't newer than
// the newest is ignored.
func (h *History) Add(version uint64, packed []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.newest() {
		return nil
	}
	content, err := Unpack(packed)
	if err != nil {
		return err
	}
	h.entries = append(h.entries, historyEntry{
		version: version,
		content: content,
	})
	if len(h.entries) > historySize {
		h.entries = append([]historyEntry(nil), h.entries[1:]...)
	}
	h.patches = map[uint64][]byte{}
	return nil
}

// newest returns the newest version; 0 if there is none.
func (h *History) newest() uint64 {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].version
}

// Patch returns the patch from base to version and the digest of its result. The
// patch is nil unless version is the newest and base is an older one that is held.
func (h *History) Patch(base, version uint64) (patch []byte, digest uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != h.newest() {
		return nil, 0, nil
	}
	next := h.entries[len(h.entries)-1].content
	for _, p := range h.entries {
		if p.version != base || base == version {
			continue
		}
		if h.patches[base] == nil {
			if h.patches[base], err = MakePatch(p.content, next); err != nil {
				return nil, 0, err
			}
		}
		return h.patches[base], ContentDigest(next), nil
	}
	return nil, 0, nil
}
