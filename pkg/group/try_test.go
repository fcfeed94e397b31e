package group

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGroup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "group")
}

var _ = Describe("Try", func() {
	It("returns a panic and its location", func() {
		var none *PanicError
		Expect(CatchPanic(func() {})).To(Succeed())
		Expect(CatchPanic(func() { panic("odd") })).To(MatchError("panic at try_test.go:19: odd"))
		Expect(CatchPanic(func() { _ = none.At })).To(MatchError(ContainSubstring("try_test.go:20: runtime error")))
	})
})
