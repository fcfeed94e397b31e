package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	claimTimeout     = 3 * time.Second
	settleTimeout    = 2 * time.Second
	settleAttempts   = 20
	settleRetryDelay = 500 * time.Millisecond
)

// claimer records claims with the control hosts for requests that must run at
// most once: a claim before the request is sent, its outcome afterwards.
type claimer struct {
	holder         string
	control        []string
	client         *http.Client
	requestTimeout time.Duration
	nonce          atomic.Uint64
}

// newClaimer returns a claimer for requests that run no longer than
// requestTimeout. Its claims belong to one incarnation of the host: after a
// restart the host can't settle claims that it made before.
func newClaimer(host string, incarnation uint64, control []string, client *http.Client, requestTimeout time.Duration) *claimer {
	return &claimer{
		holder:         host + "/" + strconv.FormatUint(incarnation, 36),
		control:        control,
		client:         client,
		requestTimeout: requestTimeout,
	}
}

// claim is one request's claim.
type claim struct {
	account string
	key     string
	nonce   uint64
	// recorded is the outcome of the first request with this key; nil if none
	// is recorded.
	recorded *rpc.Outcome
}

// claim records that the request is about to be sent. Without an error, the
// returned claim is either granted, or was already settled by the first request
// with the key. If claim fails, nothing was sent, so the request did not run.
// The claim is returned with an error as well.
func (c *claimer) claim(ctx context.Context, account, key string, body []byte) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	out := &claim{
		account: account,
		key:     key,
		nonce:   c.nonce.Add(1),
	}
	r := &rpc.ClaimRequest{
		Account:    account,
		Key:        key,
		BodyDigest: bundle.Digest(body),
		Entry:      c.holder,
		Nonce:      out.nonce,
		RunsMs:     uint32(c.requestTimeout.Milliseconds()),
	}
	var reply *rpc.ClaimReply
	err := netutil.TryAddresses(ctx, c.control, func(ctx context.Context, address string) (bool, error) {
		var err error
		reply, err = rpc.NewClaimsProtobufClient("http://"+address, c.client).Claim(ctx, r)
		return err == nil, err
	})
	if err != nil {
		return out, failure.Wrap(err, failure.ControlUnavailable, "the request must not be repeated and could not be claimed")
	}
	out.recorded = reply.GetOutcome()
	return out, claimError(reply, key)
}

// claimError converts the state of a claim to the error for the caller. It
// returns nil if the claim was granted or its outcome is known.
func claimError(reply *rpc.ClaimReply, key string) error {
	switch reply.GetState() {
	case rpc.ClaimState_CLAIM_GRANTED, rpc.ClaimState_CLAIM_SETTLED:
		return nil
	case rpc.ClaimState_CLAIM_RUNNING:
		return failure.New(failure.InProgress, "a request with the key %q was claimed and has no outcome yet", key)
	case rpc.ClaimState_CLAIM_LOST:
		return failure.New(failure.OutcomeUnknown, "a request with the key %q was claimed, and its outcome was lost", key)
	case rpc.ClaimState_CLAIM_MISMATCH:
		return failure.New(failure.KeyReused, "the key %q was used with another body", key)
	case rpc.ClaimState_CLAIM_FULL:
		return failure.New(failure.ClaimsFull, "the client account keeps too many claimed keys")
	default:
		return failure.New(failure.Internal, "the control hosts gave no state of the claim").WithRan(failure.RanNo)
	}
}

// settle records the outcome of a claimed request and reports whether a control
// host accepted it. It makes up to settleAttempts attempts, each at every control
// host in turn. An outcome whose Ran is "no" frees the key.
func (c *claimer) settle(ctx context.Context, svc timer.Service, cl *claim, out *rpc.Outcome) bool {
	r := &rpc.SettleRequest{
		Account: cl.account,
		Key:     cl.key,
		Entry:   c.holder,
		Nonce:   cl.nonce,
		Outcome: out,
	}
	for range settleAttempts {
		for _, address := range c.control {
			if c.settleOnce(ctx, address, r) == nil {
				return true
			}
		}
		if timer.Sleep(ctx, svc, settleRetryDelay) != nil {
			return false
		}
	}
	return false
}

func (c *claimer) settleOnce(ctx context.Context, address string, r *rpc.SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := rpc.NewClaimsProtobufClient("http://"+address, c.client).Settle(ctx, r)
	return err
}
