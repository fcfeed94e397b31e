package netutil

import (
	"context"
	"time"
)

// attemptTimeout is how long one of several addresses may take in the first round
// before the next one is tried. It is many times as long as an answer takes, and a
// small share of any caller's timeout. A single address, and the second round, have
// all the time that is left.
const attemptTimeout = 500 * time.Millisecond

// TryAddresses calls call with one address after the other until call reports that it is
// done or ctx ends, and returns the last call's error. It goes through the addresses
// twice, so the request that call makes must be safe to repeat.
func TryAddresses(ctx context.Context, addresses []string, call func(ctx context.Context, address string) (done bool, err error)) error {
	var last error
	for round := range 2 {
		for _, address := range addresses {
			done, err := attempt(ctx, address, round == 0 && len(addresses) > 1, call)
			if done {
				return err
			}
			last = err
			if ctx.Err() != nil {
				return last
			}
		}
	}
	return last
}

func attempt(ctx context.Context, address string, limited bool, call func(ctx context.Context, address string) (bool, error)) (bool, error) {
	if limited {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		ctx = attemptCtx
	}
	return call(ctx, address)
}
