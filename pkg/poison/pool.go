package poison

import (
	"slices"
	"time"
)

const (
	// maxPoolEnds bounds the ends that are remembered of a pool, maxYoung the requests under
	// them, and maxYoungParts the parts of these.
	maxPoolEnds, maxYoung, maxYoungParts = 64, 256, 32_768
	// shareMargin is added to the number of requests under the ends of a pool, which lowers
	// a part's estimated share of requests while few are known.
	shareMargin = 10
)

// poolEvidence is what is known of one pool of upstreams, against which its suspects are
// weighed. It is removed when retention has passed since it changed last.
type poolEvidence struct {
	// ends are the newest ends of upstreams that no blocked part explains.
	ends []End
	// young holds the parts of the newest requests that had hardly begun at upstreams that
	// ended, the oldest first.
	young [][]uint64
	// with is the number of these requests with each part, and youngParts that of their parts.
	with       map[uint64]int
	youngParts int
	// answers is the number of requests that were answered.
	answers uint64
	touched time.Duration
}

// pool returns the evidence of a pool, which changes now.
func (r *Registry) pool(now time.Duration, id uint64) *poolEvidence {
	p := r.pools[id]
	if p == nil {
		p = &poolEvidence{with: map[uint64]int{}}
		r.pools[id] = p
	}
	p.touched = now
	return p
}

// CountAnswer counts an answered request of a pool.
func (r *Registry) CountAnswer(now time.Duration, pool uint64) {
	if r.Enabled() {
		r.pool(now, pool).answers++
	}
}

func (p *poolEvidence) addEnd(ending Ending) {
	p.ends = mergeEnds(p.ends, []End{{ending.Upstream, ending.At}}, maxPoolEnds)
	for _, parts := range ending.Young {
		p.young = append(p.young, parts)
		p.count(parts, 1)
	}
	for len(p.young) > maxYoung || p.youngParts > maxYoungParts && len(p.young) > 1 {
		p.count(p.young[0], -1)
		p.young = p.young[1:]
	}
	p.young = slices.Clone(p.young)
}

// count adds a request to the counts of its parts, or removes it with -1.
func (p *poolEvidence) count(parts []uint64, change int) {
	p.youngParts += change * len(parts)
	counted := make(map[uint64]struct{}, len(parts))
	for _, part := range parts {
		if _, twice := counted[part]; twice {
			continue
		}
		counted[part] = struct{}{}
		if p.with[part] += change; p.with[part] == 0 {
			delete(p.with, part)
		}
	}
}

// expectedAnswers returns how many answers a part would have had if its share of the
// answered requests were that of the requests under the ends. It is too large for parts
// that end upstreams, since they are under more of these.
func (p *poolEvidence) expectedAnswers(part uint64) float64 {
	return float64(p.with[part]) / float64(len(p.young)+shareMargin) * float64(p.answers)
}
