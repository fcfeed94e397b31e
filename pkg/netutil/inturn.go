package netutil

import (
	"context"
	"time"
)

// attemptTimeout is how long one of several addresses may be silent before the next
// is asked: many times what an answer takes, and a small share of any caller's
// time. Addresses that were silent are asked once more, with all the time left.
const attemptTimeout = 500 * time.Millisecond

// InTurn asks addresses one after the other until call says that it is done,
// and returns the last call's error. call may be made twice with an address, so
// what it asks for must bear to be asked again.
func InTurn(ctx context.Context, addresses []string, call func(ctx context.Context, address string) (done bool, err error)) error {
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
