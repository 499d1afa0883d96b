// Package quota bounds what each organisation may use of a quota that all
// instances share. Each instance grants its share of the rate by a token
// bucket. It does no I/O and reads no clock.
//
// Invariants:
//   - over any span, an instance grants at most its share of rate times span
//     plus burst, plus one request;
//   - the shares of the instances that count each other add up to the quota.
package quota

import "time"

// Limit is a quota over all instances.
type Limit struct {
	// PerSecond and Burst are in the unit of the cost.
	PerSecond, Burst float64
}

// bucket is what one organisation has left at this instance.
type bucket struct {
	left     float64
	refilled time.Duration
}
