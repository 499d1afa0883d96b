package dispatch

import (
	"slices"
	"time"
)

// Pools returns the pools that have records, in order of first use.
func (t *Table) Pools() []uint64 {
	var pools []uint64
	for _, id := range t.poolIDs {
		if len(t.pools[id].records) > 0 {
			pools = append(pools, id)
		}
	}
	return pools
}

// Local reports whether a pool's requests use the fixed-share pool.
func (t *Table) Local(pool uint64) bool {
	p, ok := t.pools[pool]
	return ok && p.local
}

// SetOwner tells the table which instance owns a pool. If the owner changed,
// waiting requests move to the new one: they are withdrawn from the old holder
// and handed over by the Sync that the caller sends when moved is true.
func (t *Table) SetOwner(now time.Duration, pool, owner uint64) (moved bool) {
	p := t.route(pool)
	if p.owner == owner {
		return false
	}
	p.owner, p.local = owner, false
	return t.moveAll(now, p, "retries", OwnerGone)
}

// SetLocal tells the table that the owner of a pool cannot be reached, or that
// it can be reached again. When it is back, waiting requests are withdrawn
// from the local pool at once, so that the owner decides on all of them.
func (t *Table) SetLocal(now time.Duration, pool uint64, local bool) (moved bool) {
	p := t.route(pool)
	if p.local == local || local && p.owner == t.cfg.Self {
		return false
	}
	p.local = local
	if local {
		t.count("fallback", "owner_unreachable")
		t.moveAll(now, p, "fallback", "moved_to_share")
		return false
	}
	t.count("fallback", "owner_back")
	return t.moveAll(now, p, "fallback", "moved_to_owner")
}

// moveAll gives every waiting record of a pool to the pool's present holder.
// Moves to a new owner are not held back by the retry budget: there is one per
// request and change of owner, and the new owner asks for them in any case.
func (t *Table) moveAll(now time.Duration, p *poolRoute, counter, reason string) (moved bool) {
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
		// A move is no retry: the new holder must know of all waiting requests
		// at once, or it could serve a lower tier first.
		r.notBefore = 0
		if holder.Local {
			t.offer(now, r)
		}
	}
	return moved && !holder.Local
}

// Waiting returns the number of requests of a pool that wait.
func (t *Table) Waiting(pool uint64) int {
	if p, ok := t.pools[pool]; ok {
		return p.waiting
	}
	return 0
}

// WaitingSince returns the earliest time at which a request that still waits
// at the pool's remote owner was offered.
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

// Sync lists the records of a pool for an owner. Waiting records are listed
// only if the asking owner is the pool's owner in this instance's view; records
// in flight are then released to it.
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
			// The owner asks, so this is no retry that needs a delay.
			r.notBefore = 0
			t.markOffered(now, r)
			waiting = append(waiting, r)
		}
	}
	return waiting, inFlight
}

// Tick runs timers: delayed offers, repeated offers and deadlines.
func (t *Table) Tick(now time.Duration) {
	for _, id := range t.poolIDs {
		for _, r := range slices.Clone(t.pools[id].records) {
			t.tickRecord(now, r)
		}
	}
	t.forgetIdle(now)
}

// forgetIdle drops pools without requests, since the pools of a configuration
// come and go.
func (t *Table) forgetIdle(now time.Duration) {
	t.poolIDs = slices.DeleteFunc(t.poolIDs, func(id uint64) bool {
		p := t.pools[id]
		if len(p.records) > 0 || p.local || now-p.sends.at < t.cfg.Sends.Window {
			return false
		}
		delete(t.pools, id)
		return true
	})
}

func (t *Table) tickRecord(now time.Duration, r *Record) {
	switch {
	case r.State == Waiting && now >= r.Deadline:
		t.withdraw(r)
		t.end(r, Refusal{Code: "expired_waiting", Ran: RanNo, Reason: "the deadline passed while the request waited",
			Remedy: "retry later or send a later deadline", RetryAfter: time.Second})
	case r.State == Waiting && !r.offered:
		t.offer(now, r)
	case r.State == Waiting && now >= r.resendAt:
		r.resends = min(r.resends+1, 8)
		r.resendAt = now + min(resendBase<<r.resends, resendMax) + t.jitter()
		t.emit(Offer{Record: r})
	case r.InFlight() && now >= r.Deadline+deadlineGrace:
		t.emit(Cancel{ID: r.ID})
		t.Finish(now, r.ID, DeadlinePassed, r.Tokens, 0)
	}
}

// Drain is called when a planned stop starts. Nothing in progress is cut.
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

// Refuse ends a waiting request, for example because its route is gone.
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
	r.Holder = t.route(pool).holder(t.cfg.Self)
}

// Rehome counts a dispatched request in another pool, after its upstream moved
// there. It returns false if nothing changed; otherwise the new pool's owner
// must be told by a Sync.
func (t *Table) Rehome(id ID, pool uint64) bool {
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
	from, to := t.route(r.Pool), t.route(pool)
	from.records = slices.DeleteFunc(from.records, func(other *Record) bool { return other == r })
	to.records = append(to.records, r)
	if r.State == Waiting {
		from.waiting--
		to.waiting++
	}
	r.Pool = pool
}

// HashRequest returns the contribution of one request to a digest. A request
// that waits at its entry counts as another one than the same request granted,
// so that a lost grant shows.
func HashRequest(id uint64, attempt uint32, granted bool) uint64 {
	x := id*0x9e3779b97f4a7c15 ^ uint64(attempt)*0xbf58476d1ce4e5b9
	if granted {
		x = ^x
	}
	x = (x ^ x>>29) * 0x94d049bb133111eb
	return x ^ x>>32
}

// Digest summarises the requests of a pool that an owner should know of:
// offered and waiting, or dispatched under one of its permits.
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
