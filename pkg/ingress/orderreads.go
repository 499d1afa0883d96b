package ingress

import "time"

// maxOrderAge is the longest time for which orders are not read while the upstreams are
// listed again and again.
const maxOrderAge = time.Second

// OrderReads decides which listings of the upstreams are followed by a read of the orders
// for rollouts. Without an order, and while no upstream of a version appears that was not
// listed before, most changes of the upstreams need none: each would cost one more call of
// every instance to the store. The zero value reads with the first listing.
type OrderReads struct {
	known bool
	// orders are those read last, at readAt.
	orders Orders
	readAt time.Duration
	// versions are the versions of each service in all listings since an order was read last.
	versions map[serviceVersion]bool
	// listed is the digest of the newest listing of the upstreams, at listedAt.
	listed   uint64
	listedAt time.Duration
}

type serviceVersion struct{ service, version string }

// Due reports whether the orders must be read after a listing of the upstreams. A listing
// that has not changed was made because another instance has other orders.
func (r *OrderReads) Due(now time.Duration, upstreams []Upstream) bool {
	listed, previous := Digest(upstreams), r.listedAt
	unchanged := r.listed == listed
	r.listed, r.listedAt = listed, now
	if !r.known || unchanged || len(r.orders.Rollouts) > 0 || len(r.orders.Refused) > 0 {
		return true
	}
	if now-previous < maxOrderAge && now-r.readAt >= maxOrderAge {
		return true
	}
	for i := range upstreams {
		if !r.versions[versionOf(&upstreams[i])] {
			return true
		}
	}
	return false
}

// Read records the orders that were read after a listing of the upstreams.
func (r *OrderReads) Read(now time.Duration, upstreams []Upstream, orders Orders) {
	r.known, r.orders, r.readAt = true, orders, now
	r.versions = map[serviceVersion]bool{}
	for i := range upstreams {
		r.versions[versionOf(&upstreams[i])] = true
	}
}

// Orders returns the orders that were read last.
func (r *OrderReads) Orders() Orders { return r.orders }

func versionOf(u *Upstream) serviceVersion { return serviceVersion{u.Service, u.Version} }
