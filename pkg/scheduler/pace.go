package scheduler

import "time"

const (
	// The target between tokens is lowered while more than one top-tier answer
	// in a hundred misses its deadline, down to minPace of it.
	lateStep, onTimeStep = 0.02, 0.0002
	minPace              = 0.5
	minPaceGain          = 0.1
	// needMargin covers outputs above the 0.9 quantile and the first token.
	needMargin = 1.2
	needFall   = 0.05
	needRise   = 0.002
	// minLowerShare is the part of lower tiers in flight from which the need of
	// the top tier counts.
	minLowerShare = 0.2
)

// gapTarget returns the target between tokens in nanoseconds.
func (p *Pool) gapTarget() float64 {
	pace := p.pace
	if p.lowerShare() > minLowerShare {
		pace = min(pace, p.need)
	}
	return pace * float64(p.config.TargetInterToken)
}

// lowerShare returns the part of the requests in flight that is not of the top tier.
func (p *Pool) lowerShare() float64 {
	top, all := p.tiers[0].flight, uint32(0)
	for i := range p.tiers {
		all += p.tiers[i].flight
	}
	return 1 - float64(top)/float64(max(1, all))
}

// learnNeed follows the time between tokens at which the deadlines of the top
// tier can be met, before the first one is missed. It falls quickly and rises
// slowly, so that the kind with the tightest deadlines decides.
func (p *Pool) learnNeed(d *Descriptor, remaining time.Duration, perPrompt float64) {
	if d.Tier != 0 || d.OutHigh == 0 {
		return
	}
	left := float64(remaining) - float64(d.Prompt)*perPrompt
	gap := left / (needMargin * float64(d.OutHigh))
	need := min(1, max(minPace, gap/float64(p.config.TargetInterToken)))
	weight := needRise
	if need < p.need {
		weight = needFall
	}
	smooth(&p.need, need, weight)
}

// learnPace moves the pace towards one late answer in a hundred in the top
// tier. Deadlines of the top tier may need a faster engine than the target
// between tokens promises, and no lower tier may take that from it. The steps
// are as small as the part of the work that lower tiers have in flight: when
// the top tier competes with itself, a lower pace costs more answers than it
// saves.
func (p *Pool) learnPace(tier uint8, late bool) {
	if tier != 0 {
		return
	}
	gain := max(minPaceGain, p.lowerShare())
	if late {
		p.pace = max(minPace, p.pace-gain*lateStep)
	} else {
		p.pace = min(1, p.pace+gain*onTimeStep)
	}
}
