package netutil

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNetutil(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "netutil")
}

// waitFor returns after d, or with ctx's error when ctx ends before.
func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

var _ = Describe("trying several addresses", func() {
	It("moves on quickly from an address that doesn't answer", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		began := time.Now()
		err := TryAddresses(ctx, []string{"silent", "good"}, func(ctx context.Context, address string) (bool, error) {
			if address == "silent" {
				return false, waitFor(ctx, time.Minute)
			}
			return true, nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})

	It("tries each address again without the attempt timeout, so that a slow answer isn't lost", func() {
		calls := 0
		err := TryAddresses(context.Background(), []string{"slow", "down"}, func(ctx context.Context, address string) (bool, error) {
			calls++
			if address == "down" {
				return false, errors.New("down")
			}
			err := waitFor(ctx, 2*attemptTimeout)
			return err == nil, err
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(calls).To(Equal(3))
	})

	It("stops at the call that reports that it is done, and when the caller's context ends", func() {
		final := errors.New("final")
		Expect(TryAddresses(context.Background(), []string{"a", "b"}, func(context.Context, string) (bool, error) {
			return true, final
		})).To(MatchError(final))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Expect(TryAddresses(ctx, []string{"a"}, func(ctx context.Context, _ string) (bool, error) {
			return false, waitFor(ctx, time.Minute)
		})).To(MatchError(context.DeadlineExceeded))
	})
})
