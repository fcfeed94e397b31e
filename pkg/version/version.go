// Package version names the release and the commit that a program was built from.
package version

import (
	"runtime"
	"runtime/debug"
)

// Number is the release, set by the linker for released programs.
var Number = "0.1.0-dev"

const (
	// commitLength is how many hexadecimal digits of a commit are shown.
	commitLength = 12
	// unknownCommit is shown by programs that were built outside a repository.
	unknownCommit = "unknown"
	// modifiedSuffix marks programs that were built from a changed work tree.
	modifiedSuffix = "+"
)

// String returns the release, the commit and the Go version it was built with.
func String() string {
	return Number + " " + Commit() + " (" + runtime.Version() + ")"
}

// Commit returns the commit that the program was built from, as the Go command recorded it.
// Hosts of several builds run side by side during an upgrade, and this tells them apart.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownCommit
	}
	return commitOf(info.Settings)
}

// commitOf returns the commit in a program's build settings.
func commitOf(settings []debug.BuildSetting) string {
	commit := unknownCommit
	suffix := ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			commit = s.Value[:min(commitLength, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = modifiedSuffix
		}
	}
	if commit == unknownCommit {
		return commit
	}
	return commit + suffix
}
