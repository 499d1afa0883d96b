package poison

import (
	"slices"
	"time"
)

const (
	// maxPoolEnds bounds the ends that are remembered of a pool, and maxYoung the requests
	// under them.
	maxPoolEnds, maxYoung = 64, 256
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
	// answers is the number of requests that were answered.
	answers uint64
	touched time.Duration
}

// pool returns the evidence of a pool, which changes now.
func (r *Registry) pool(now time.Duration, id uint64) *poolEvidence {
	p := r.pools[id]
	if p == nil {
		p = &poolEvidence{}
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
	p.young = append(p.young, ending.Young...)
	p.young = slices.Clone(p.young[max(0, len(p.young)-maxYoung):])
}

// expectedAnswers returns how many answers a part would have had if its share of the
// answered requests were that of the requests under the ends. It is too large for parts
// that end upstreams, since they are under more of these.
func (p *poolEvidence) expectedAnswers(part uint64) float64 {
	with := 0
	for _, parts := range p.young {
		if slices.Contains(parts, part) {
			with++
		}
	}
	return float64(with) / float64(len(p.young)+shareMargin) * float64(p.answers)
}
