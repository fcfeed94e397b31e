package state

import "github.com/larchwinch/larchwinch/pkg/rpc"

// maxClaimsPerAccount bounds what one client account can make the replicas keep.
const maxClaimsPerAccount = 100_000

// maxOutcomeBytes bounds the answer kept for a resend; a longer one is kept
// as "yes, but the answer is gone".
const maxOutcomeBytes = 64 * 1024

type claimKey struct {
	account string
	key     string
}

// expiryEntry is a claim's place in the order of expiry.
type expiryEntry struct {
	key    claimKey
	unixMS int64
}

// claims is the record of requests that must not be repeated.
//
// Invariant: a key is granted at most once within the window.
type claims struct {
	windowMS    int64
	byKey       map[claimKey]*rpc.ClaimRecord
	expiryQueue []expiryEntry // oldest first, for expiry
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
		reply.State = rpc.ClaimState_CLAIM_GRANTED // the first answer was lost
	case old.GetUnixMs()+int64(first.GetRunsMs()) < now:
		reply.State = rpc.ClaimState_CLAIM_LOST
	default:
		reply.State = rpc.ClaimState_CLAIM_RUNNING
	}
	return reply
}

// ranNo as an outcome says that nothing was sent to an endpoint.
const ranNo = "no"

// settle notes the outcome, the first one only. Only who was granted the
// claim may settle it. One that wasn't run is forgotten, so that the caller
// may come back with the same key.
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

// release forgets a claim. Its place in the queue stays until it is expired.
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

// expire forgets claims that are older than the window. A place in the queue
// whose claim was released, or claimed anew since, is only dropped.
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

// records returns every claim, oldest first.
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
