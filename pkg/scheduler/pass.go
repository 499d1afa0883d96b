package scheduler

import "time"

const (
	// maxPassScan bounds the requests of one queue that are looked at for one that a
	// free upstream takes.
	maxPassScan = 64
	// maxPassedQueues bounds the queues that are passed in one step of a tier, so that
	// a decision does not take longer with the number of organisations that wait.
	maxPassedQueues = 64
)

// passBlocked returns the first request behind r in its queue that a free upstream
// takes, and that upstream, or nil. r itself is taken by none.
func (p *Pool) passBlocked(now time.Duration, r *request) (next *request, u *upstream) {
	p.noteAnyUpstream(now, r)
	blockedPrompt, holds := r.PromptLength, now < p.holdsUntil
	next = r.next
	for range maxPassScan {
		if next == nil {
			break
		}
		// A prompt that is at least as long fits nowhere either.
		if holds || next.PromptLength < blockedPrompt || now >= next.anyUpstreamFrom {
			if u := p.chooseUpstream(now, next); u != nil {
				return next, u
			}
			p.noteAnyUpstream(now, next)
			blockedPrompt = min(blockedPrompt, next.PromptLength)
		}
		next = next.next
	}
	return nil, nil
}

// noteAnyUpstream has the pool step again once a waiting request accepts any upstream.
func (p *Pool) noteAnyUpstream(now time.Duration, r *request) {
	if r.anyUpstreamFrom > now && (p.nextAnyUpstream == 0 || r.anyUpstreamFrom < p.nextAnyUpstream) {
		p.nextAnyUpstream = r.anyUpstreamFrom
	}
}
