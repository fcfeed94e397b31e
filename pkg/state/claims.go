package state

import "github.com/larchwinch/larchwinch/pkg/rpc"

// maxClaimsPerAccount limits the claims that are kept for one client account.
const maxClaimsPerAccount = 100_000

// maxOutcomeBytes limits the size of the answer that is kept for a repeated
// request. Of a longer answer only the fact that the request ran is kept.
const maxOutcomeBytes = 64 * 1024

type claimKey struct {
	account string
	key     string
}

// expiryEntry is the entry of a claim in the expiry queue.
type expiryEntry struct {
	key    claimKey
	unixMS int64
}

// claims records the requests that must not be executed more than once.
//
// Invariant: within the window, a key is granted to one claimant at most, unless
// its claim is released because the request was not run.
type claims struct {
	windowMS    int64
	byKey       map[claimKey]*rpc.ClaimRecord
	expiryQueue []expiryEntry // oldest first
	accounts    map[string]int
}

func newClaims(windowMS int64) *claims {
	c := &claims{
		windowMS: windowMS,
	}
	c.reset()
	return c
}

func (c *claims) reset() {
	c.byKey = map[claimKey]*rpc.ClaimRecord{}
	c.expiryQueue = nil
	c.accounts = map[string]int{}
}

func (c *claims) len() int {
	return len(c.byKey)
}

func (c *claims) get(account, key string) *rpc.ClaimRecord {
	return c.byKey[claimKey{
		account: account,
		key:     key,
	}]
}

func (c *claims) claim(r *rpc.ClaimRequest, now int64) *rpc.ClaimReply {
	c.expire(now)
	if old := c.get(r.GetAccount(), r.GetKey()); old != nil {
		return existingClaimReply(r, old, now)
	}
	if c.accounts[r.GetAccount()] >= maxClaimsPerAccount {
		return &rpc.ClaimReply{
			State: rpc.ClaimState_CLAIM_FULL,
		}
	}
	c.add(&rpc.ClaimRecord{
		Request: r,
		UnixMs:  now,
	})
	return &rpc.ClaimReply{
		State: rpc.ClaimState_CLAIM_GRANTED,
	}
}

func existingClaimReply(r *rpc.ClaimRequest, old *rpc.ClaimRecord, now int64) *rpc.ClaimReply {
	first := old.GetRequest()
	reply := &rpc.ClaimReply{
		Outcome: old.GetOutcome(),
	}
	switch {
	case first.GetBodyDigest() != r.GetBodyDigest():
		reply.State = rpc.ClaimState_CLAIM_MISMATCH
		reply.Outcome = nil
	case old.GetOutcome() != nil:
		reply.State = rpc.ClaimState_CLAIM_SETTLED
	case first.GetEntry() == r.GetEntry() && first.GetNonce() == r.GetNonce():
		reply.State = rpc.ClaimState_CLAIM_GRANTED // the claimant repeats its call, as the reply was lost
	case old.GetUnixMs()+int64(first.GetRunsMs()) < now:
		reply.State = rpc.ClaimState_CLAIM_LOST
	default:
		reply.State = rpc.ClaimState_CLAIM_RUNNING
	}
	return reply
}

// ranNo is the outcome of a request of which nothing was sent to an endpoint.
const ranNo = "no"

// settle records the outcome of a claim. Only the first outcome counts, and only
// the holder of the claim may settle it. The claim of a request that was not run
// is removed, so that the caller may retry with the same key.
func (c *claims) settle(r *rpc.SettleRequest, now int64) *rpc.SettleReply {
	c.expire(now)
	rec := c.get(r.GetAccount(), r.GetKey())
	if rec == nil || rec.GetOutcome() != nil || rec.GetRequest().GetEntry() != r.GetEntry() || rec.GetRequest().GetNonce() != r.GetNonce() {
		return &rpc.SettleReply{}
	}
	out := r.GetOutcome()
	if out.GetRan() == ranNo {
		c.release(rec.GetRequest())
		return &rpc.SettleReply{}
	}
	if len(out.GetBody()) > maxOutcomeBytes {
		out = &rpc.Outcome{
			Ran: out.GetRan(),
		}
	}
	rec.Outcome = out
	return &rpc.SettleReply{}
}

// release removes a claim. Its entry in the queue stays until it expires.
func (c *claims) release(r *rpc.ClaimRequest) {
	c.remove(claimKey{
		account: r.GetAccount(),
		key:     r.GetKey(),
	})
}

func (c *claims) remove(k claimKey) {
	if c.byKey[k] == nil {
		return
	}
	delete(c.byKey, k)
	if c.accounts[k.account]--; c.accounts[k.account] == 0 {
		delete(c.accounts, k.account)
	}
}

func (c *claims) add(rec *rpc.ClaimRecord) {
	k := claimKey{
		account: rec.GetRequest().GetAccount(),
		key:     rec.GetRequest().GetKey(),
	}
	c.byKey[k] = rec
	c.expiryQueue = append(c.expiryQueue, expiryEntry{
		key:    k,
		unixMS: rec.GetUnixMs(),
	})
	c.accounts[k.account]++
}

// expire removes the claims that are older than the window. If the claim of a
// queue entry was released, or made again since, only the entry is dropped.
func (c *claims) expire(now int64) {
	n := 0
	for n < len(c.expiryQueue) && c.expiryQueue[n].unixMS+c.windowMS <= now {
		if q := c.expiryQueue[n]; c.byKey[q.key].GetUnixMs() == q.unixMS {
			c.remove(q.key)
		}
		n++
	}
	c.expiryQueue = c.expiryQueue[n:]
}

// records returns all claims, oldest first.
func (c *claims) records() []*rpc.ClaimRecord {
	list := make([]*rpc.ClaimRecord, 0, len(c.byKey))
	seen := map[claimKey]bool{}
	for _, q := range c.expiryQueue {
		rec := c.byKey[q.key]
		if rec.GetUnixMs() != q.unixMS || rec == nil || seen[q.key] {
			continue
		}
		seen[q.key] = true
		list = append(list, rec)
	}
	return list
}

func (c *claims) restore(list []*rpc.ClaimRecord) {
	for _, rec := range list {
		c.add(rec)
	}
}
