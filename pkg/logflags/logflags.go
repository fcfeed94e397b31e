// Package logflags enables and disables the logs of each subsystem. Only changes
// of state are logged; frequent events are counted in metrics instead.
package logflags

import (
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Subsystem is one part of larchwinch that logs.
type Subsystem string

// The subsystems.
const (
	Admin      Subsystem = "admin"
	Chain      Subsystem = "chain"
	Claims     Subsystem = "claims"
	Entry      Subsystem = "entry"
	Membership Subsystem = "membership"
	Raft       Subsystem = "raft"
	Rollout    Subsystem = "rollout"
	Standin    Subsystem = "standin"
	Storage    Subsystem = "storage"
)

var known = []Subsystem{Admin, Chain, Claims, Entry, Membership, Raft, Rollout, Standin, Storage}

var enabled = map[Subsystem]bool{}

// Names returns the subsystems' names, sorted.
func Names() []string {
	names := make([]string, 0, len(known))
	for _, s := range known {
		names = append(names, string(s))
	}
	sort.Strings(names)
	return names
}

// Setup enables the subsystems in list, a comma-separated list of names; "all"
// enables every one. It must be called before any goroutine logs.
func Setup(list string) error {
	for _, name := range strings.Split(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if err := enable(name); err != nil {
			return err
		}
	}
	return nil
}

func enable(name string) error {
	found := false
	for _, s := range known {
		if name == "all" || name == string(s) {
			enabled[s] = true
			found = true
		}
	}
	if !found {
		return errors.Errorf("log: no subsystem %q; allowed are all, %s", name, strings.Join(Names(), ", "))
	}
	return nil
}

// Info logs a change of state in s as a structured line, if s is enabled.
func Info(s Subsystem, msg string, keysAndValues ...any) {
	if enabled[s] {
		klog.InfoSDepth(1, msg, append([]any{"subsystem", string(s)}, keysAndValues...)...)
	}
}

// Error logs a failure in s as a structured line, whether s is enabled or not.
func Error(s Subsystem, err error, msg string, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, msg, append([]any{"subsystem", string(s)}, keysAndValues...)...)
}
