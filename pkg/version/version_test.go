package version

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "version")
}

// Guards against builds that can't be told apart while an upgrade is in progress.
var _ = Describe("the commit", func() {
	const revision = "0123456789abcdef0123456789abcdef01234567"
	tests := []struct {
		what     string
		settings []debug.BuildSetting
		want     string
	}{
		{"is shortened", []debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: "false"}}, "0123456789ab"},
		{"is marked for a changed work tree", []debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: revision}}, "0123456789ab+"},
		{"is unknown outside a repository", []debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "CGO_ENABLED", Value: "1"}}, "unknown"},
		{"may be short", []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}}, "abc"},
	}
	for _, tt := range tests {
		It(tt.what, func() {
			Expect(commitOf(tt.settings)).To(Equal(tt.want))
		})
	}
})
