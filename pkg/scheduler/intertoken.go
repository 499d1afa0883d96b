package scheduler

import "time"

const (
	// While more than one top-tier answer in a hundred misses its deadline, the
	// inter-token target is lowered, down to minTargetFraction of the configured one.
	lateStep, onTimeStep = 0.02, 0.0002
	minTargetFraction    = 0.5
	minStepScale         = 0.1
	// deadlineMargin covers outputs above the 0.9 quantile and the first token.
	deadlineMargin     = 1.2
	requiredFallWeight = 0.05
	requiredRiseWeight = 0.002
	// minLowerTierFraction is the fraction of lower-tier requests in flight above
	// which the target required by the top tier applies.
	minLowerTierFraction = 0.2
)

// interTokenTarget returns the effective inter-token target in nanoseconds.
func (p *Pool) interTokenTarget() float64 {
	targetFraction := p.targetFraction
	if p.lowerTierFraction() > minLowerTierFraction {
		targetFraction = min(targetFraction, p.requiredFraction)
	}
	return targetFraction * float64(p.config.TargetInterToken)
}

// lowerTierFraction returns the fraction of the requests in flight that is not of the top tier.
func (p *Pool) lowerTierFraction() float64 {
	top, all := p.tiers[0].inFlightCount, uint32(0)
	for i := range p.tiers {
		all += p.tiers[i].inFlightCount
	}
	return 1 - float64(top)/float64(max(1, all))
}

// learnRequiredFraction learns the fraction of the inter-token target at which
// the deadlines of the top tier can be met, before the first one is missed. It
// falls quickly and rises slowly, so that the kind with the tightest deadlines
// decides.
func (p *Pool) learnRequiredFraction(d *Descriptor, remaining time.Duration, perPrompt float64) {
	if d.Tier != 0 || d.HighOutput == 0 {
		return
	}
	decodeTime := float64(remaining) - float64(d.PromptLength)*perPrompt
	interToken := decodeTime / (deadlineMargin * float64(d.HighOutput))
	requiredFraction := min(1, max(minTargetFraction, interToken/float64(p.config.TargetInterToken)))
	weight := requiredRiseWeight
	if requiredFraction < p.requiredFraction {
		weight = requiredFallWeight
	}
	smooth(&p.requiredFraction, requiredFraction, weight)
}

// adjustTargetFraction steers towards one late answer in a hundred in the top
// tier. Deadlines of the top tier may require a faster engine than
// Config.TargetInterToken promises, and lower tiers must not slow the engine
// down. The steps are scaled by the fraction of the requests in flight that is
// of lower tiers: when the top tier competes with itself, a lower target loses
// more answers than it saves.
func (p *Pool) adjustTargetFraction(tier uint8, late bool) {
	if tier != 0 {
		return
	}
	scale := max(minStepScale, p.lowerTierFraction())
	if late {
		p.targetFraction = max(minTargetFraction, p.targetFraction-scale*lateStep)
	} else {
		p.targetFraction = min(1, p.targetFraction+scale*onTimeStep)
	}
}
