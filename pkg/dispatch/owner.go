package dispatch

import (
	"slices"
	"time"
)

// Pools returns the ids of the pools that have records, in order of first use.
func (t *Table) Pools() []uint64 {
	var pools []uint64
	for _, id := range t.poolIDs {
		if len(t.pools[id].records) > 0 {
			pools = append(pools, id)
		}
	}
	return pools
}

// Local reports whether a pool's requests are queued in this instance's
// fixed-share pool because the owner is unreachable.
func (t *Table) Local(pool uint64) bool {
	p, ok := t.pools[pool]
	return ok && p.local
}

// SetOwner sets the instance that owns a pool. If the owner changed, waiting
// requests are withdrawn from the old holder. If moved is true, the caller must
// send a Sync, which hands them to the new owner.
func (t *Table) SetOwner(now time.Duration, pool, owner uint64) (moved bool) {
	p := t.routeFor(pool)
	if p.owner == owner {
		return false
	}
	p.owner, p.local = owner, false
	return t.moveWaiting(now, p, "retries", OwnerGone)
}

// SetLocal sets whether the owner of a pool is unreachable. Once it is reachable
// again, waiting requests are withdrawn from the local pool at once, so that the
// owner decides on all of them.
func (t *Table) SetLocal(now time.Duration, pool uint64, local bool) (moved bool) {
	p := t.routeFor(pool)
	if p.local == local || local && p.owner == t.cfg.Self {
		return false
	}
	p.local = local
	if local {
		t.count("fallback", "owner_unreachable")
		t.moveWaiting(now, p, "fallback", "moved_to_share")
		return false
	}
	t.count("fallback", "owner_back")
	return t.moveWaiting(now, p, "fallback", "moved_to_owner")
}

// moveWaiting assigns every waiting record of a pool to the pool's current holder.
// Moves to a new owner do not count against the retry budget: there is one per
// request and change of owner, and the new owner requests them by a Sync anyway.
// It returns true if the caller must send a Sync to the new owner.
func (t *Table) moveWaiting(now time.Duration, p *poolRoute, counter, reason string) (moved bool) {
	holder := p.holder(t.cfg.Self)
	for _, r := range p.records {
		moved = true
		if r.State != Waiting || r.Holder == holder {
			continue
		}
		t.withdraw(r)
		r.Attempt++
		r.Holder = holder
		t.count(counter, reason)
		r.offered = false
		// A move is not a retry and is not delayed: the new holder must know of
		// all waiting requests at once, or it could serve a lower tier first.
		r.notBefore = 0
		if holder.Local {
			t.offer(now, r)
		}
	}
	return moved && !holder.Local
}

// Waiting returns the number of waiting requests of a pool.
func (t *Table) Waiting(pool uint64) int {
	if p, ok := t.pools[pool]; ok {
		return p.waiting
	}
	return 0
}

// WaitingSince returns the earliest offer time of the requests that still wait at
// the pool's owner. Requests in the local pool do not count.
func (t *Table) WaitingSince(pool uint64) (since time.Duration, ok bool) {
	p, known := t.pools[pool]
	if !known || p.waiting == 0 {
		return 0, false
	}
	for _, r := range p.records {
		if r.State == Waiting && r.offered && !r.Holder.Local && (!ok || r.offeredAt < since) {
			since, ok = r.offeredAt, true
		}
	}
	return since, ok
}

// Sync lists the records of a pool for an owner. Waiting records are listed only
// if this instance also regards the requesting owner as the pool's owner; the
// permits of records in flight will then be released to that owner.
func (t *Table) Sync(now time.Duration, pool, owner uint64) (waiting, inFlight []*Record) {
	p, ok := t.pools[pool]
	if !ok {
		return nil, nil
	}
	holder := Holder{Owner: owner}
	for _, r := range p.records {
		switch {
		case r.InFlight():
			if p.owner == owner {
				r.Holder = holder
			}
			inFlight = append(inFlight, r)
		case p.owner == owner && r.Holder == holder:
			// The owner requested the record, so this is not a retry that needs a delay.
			r.notBefore = 0
			t.markOffered(now, r)
			waiting = append(waiting, r)
		}
	}
	return waiting, inFlight
}

// Tick sends delayed and repeated offers, ends records whose deadline has passed and
// removes idle pools.
func (t *Table) Tick(now time.Duration) {
	for _, id := range t.poolIDs {
		for _, r := range slices.Clone(t.pools[id].records) {
			t.runRecordTimers(now, r)
		}
	}
	t.removeIdlePools(now)
}

// removeIdlePools removes pools without records, so that pools of past
// configurations do not accumulate. A pool stays while it is local, or until the
// window of its budget of repeated sends has passed.
func (t *Table) removeIdlePools(now time.Duration) {
	t.poolIDs = slices.DeleteFunc(t.poolIDs, func(id uint64) bool {
		p := t.pools[id]
		if len(p.records) > 0 || p.local || now-p.sends.updatedAt < t.cfg.RepeatedSends.Window {
			return false
		}
		delete(t.pools, id)
		return true
	})
}

func (t *Table) runRecordTimers(now time.Duration, r *Record) {
	switch {
	case r.State == Waiting && now >= r.Deadline:
		t.withdraw(r)
		t.end(r, Refusal{Code: "expired_waiting", Ran: RanNo, Reason: "the deadline passed while the request waited",
			Remedy: "retry later or send a later deadline", RetryAfter: time.Second})
	case r.State == Waiting && !r.offered:
		t.offer(now, r)
	case r.State == Waiting && now >= r.nextOfferAt:
		r.repeatedOffers = min(r.repeatedOffers+1, 8)
		r.nextOfferAt = now + min(offerRepeatDelay<<r.repeatedOffers, maxOfferRepeatDelay) + t.jitter()
		t.emit(Offer{Record: r})
	case r.InFlight() && now >= r.Deadline+deadlineGrace:
		t.emit(Cancel{ID: r.ID})
		t.Finish(now, r.ID, DeadlinePassed, r.Tokens, 0)
	}
}

// Drain is called when a planned stop starts. Requests in flight are left to
// complete.
func (t *Table) Drain(now time.Duration) {
	if !t.cfg.CancelOnDrain {
		return
	}
	for _, id := range t.poolIDs {
		for _, r := range slices.Clone(t.pools[id].records) {
			if r.InFlight() {
				t.emit(Cancel{ID: r.ID})
				t.Finish(now, r.ID, AnswerBroken, r.Tokens, 0)
			}
		}
	}
}

// Idle reports whether a pool has no records.
func (t *Table) Idle(pool uint64) bool {
	p, ok := t.pools[pool]
	return !ok || len(p.records) == 0
}

// Each calls visit for every record, by pool and in order of submission.
func (t *Table) Each(visit func(*Record)) {
	for _, id := range t.poolIDs {
		for _, r := range t.pools[id].records {
			visit(r)
		}
	}
}

// Refuse ends a waiting request, for example because its route was removed.
func (t *Table) Refuse(now time.Duration, id ID, refusal Refusal) {
	r, ok := t.records[id]
	if !ok || r.State != Waiting {
		return
	}
	t.withdraw(r)
	refusal.Ran = RanNo
	t.end(r, refusal)
}

// Reroute moves a waiting request to another pool, class or tier, as a new attempt.
func (t *Table) Reroute(now time.Duration, id ID, pool, class uint64, tier uint8) {
	r, ok := t.records[id]
	if !ok || r.State != Waiting || r.Pool == pool && r.Class == class && r.Tier == tier {
		return
	}
	t.withdraw(r)
	t.changePool(r, pool)
	r.Class, r.Tier = class, tier
	r.Attempt++
	r.offered = false
	r.Holder = t.routeFor(pool).holder(t.cfg.Self)
}

// MoveToPool assigns a dispatched request to another pool, after its upstream moved
// there. It returns false if nothing changed; otherwise the caller must send a
// Sync to the new pool's owner.
func (t *Table) MoveToPool(id ID, pool uint64) bool {
	r, ok := t.records[id]
	if !ok || !r.InFlight() || r.Pool == pool {
		return false
	}
	t.changePool(r, pool)
	return true
}

func (t *Table) changePool(r *Record, pool uint64) {
	if r.Pool == pool {
		return
	}
	from, to := t.routeFor(r.Pool), t.routeFor(pool)
	from.records = slices.DeleteFunc(from.records, func(other *Record) bool { return other == r })
	to.records = append(to.records, r)
	if r.State == Waiting {
		from.waiting--
		to.waiting++
	}
	r.Pool = pool
}

// HashRequest returns the contribution of one request to a digest. Waiting and
// granted requests hash differently, so that the digests of an owner and an entry
// instance differ after a grant was lost.
func HashRequest(id uint64, attempt uint32, granted bool) uint64 {
	x := id*0x9e3779b97f4a7c15 ^ uint64(attempt)*0xbf58476d1ce4e5b9
	if granted {
		x = ^x
	}
	x = (x ^ x>>29) * 0x94d049bb133111eb
	return x ^ x>>32
}

// Digest summarises the requests of a pool that an owner should know: those that
// were offered to it and wait, or were dispatched under one of its permits.
func (t *Table) Digest(pool, owner uint64) (count uint32, waiting bool, hash uint64) {
	p, ok := t.pools[pool]
	if !ok {
		return 0, false, 0
	}
	holder := Holder{Owner: owner}
	for _, r := range p.records {
		if r.Holder != holder || r.State == Waiting && !r.offered {
			continue
		}
		count++
		waiting = waiting || r.State == Waiting
		hash ^= HashRequest(uint64(r.ID), r.Attempt, r.State != Waiting)
	}
	return count, waiting, hash
}
