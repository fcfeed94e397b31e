package failure_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFailure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failure")
}

var _ = Describe("the table of kinds", func() {
	It("has a complete entry for every kind, and no name twice", func() {
		seen := map[string]bool{}
		for _, k := range failure.Kinds() {
			entry := k.Answer()
			Expect(entry.Name).NotTo(BeEmpty())
			Expect(seen[entry.Name]).To(BeFalse(), entry.Name)
			seen[entry.Name] = true
			Expect(entry.Status).To(BeNumerically(">=", 400), entry.Name)
			Expect(entry.Ran).To(BeElementOf(failure.RanNo, failure.RanYes, failure.RanUnknown), entry.Name)
			Expect(entry.Meaning).To(HaveSuffix("."), entry.Name)
			back, ok := failure.KindNamed(entry.Name)
			Expect(ok).To(BeTrue())
			Expect(back).To(Equal(k))
		}
	})
	It("has a retry time for every temporary refusal", func() {
		for _, k := range failure.Kinds() {
			if s := k.Answer().Status; s == 429 || s == 503 {
				Expect(k.Answer().RetryAfter).To(BeNumerically(">", 0), k.String())
			}
		}
	})
	It("keeps what a failure overrides when it is wrapped", func() {
		e := failure.New(failure.Overloaded, "full").WithRetryAfter(3 * time.Second).WithRan(failure.RanYes)
		f := failure.From(errors.Wrap(e, "around"))
		Expect(f.Kind()).To(Equal(failure.Overloaded))
		Expect(f.RetryAfter()).To(Equal(3 * time.Second))
		Expect(f.Ran()).To(Equal(failure.RanYes))
		Expect(failure.From(errors.New("other")).Kind()).To(Equal(failure.Internal))
	})
})
