package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt: what was sent, answered and run, with the time since the
// start. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
	ended  bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks writes a line about something that breaks the rule.
func (r *record) breaks(format string, args ...any) {
	r.line("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// brokenCount returns how many lines said that the rule was broken.
func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// end drops later lines: what clients see while the processes are stopped is no part of the case.
func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}
