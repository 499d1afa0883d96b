// Package adminwire defines the JSON types of the administration API that its server
// and its client share.
package adminwire

// Status describes an instance and the other instances and upstreams it knows of.
type Status struct {
	Name           string           `json:"name"`
	Incarnation    string           `json:"incarnation"`
	FailureDomain  string           `json:"failure_domain"`
	Cell           string           `json:"cell"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready_reason,omitempty"`
	Draining       bool             `json:"draining"`
	ConfigRevision uint64           `json:"config_revision"`
	StoreAvailable bool             `json:"store_available"`
	Instances      []InstanceStatus `json:"instances"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
	Tiers          []TierStatus     `json:"tiers"`
	Counters       []CounterStatus  `json:"counters"`
}

// InstanceStatus describes one instance.
type InstanceStatus struct {
	Incarnation string `json:"incarnation"`
	// State is "alive", "suspect", "leaving" or "dead".
	State          string `json:"state"`
	CallerAddress  string `json:"caller_address"`
	AdminAddress   string `json:"admin_address"`
	FailureDomain  string `json:"failure_domain"`
	ConfigRevision uint64 `json:"config_revision"`
}

// UpstreamStatus describes one upstream as its pool's owner sees it.
type UpstreamStatus struct {
	Name         string  `json:"name"`
	State        string  `json:"state"`
	Limit        uint32  `json:"limit"`
	InFlight     uint32  `json:"in_flight"`
	TTFTMs       float64 `json:"ttft_ms"`
	InterTokenMs float64 `json:"inter_token_ms"`
	Straggler    bool    `json:"straggler"`
}

// TierStatus counts the requests of one tier in the pools that this instance owns.
type TierStatus struct {
	Tier     int    `json:"tier"`
	Waiting  uint32 `json:"waiting"`
	InFlight uint32 `json:"in_flight"`
}

// CounterStatus is the value of one counter.
type CounterStatus struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Value  int64  `json:"value"`
}

// Explanation describes how a request would be routed, and why.
type Explanation struct {
	Route     string              `json:"route"`
	Tier      string              `json:"tier"`
	Pool      string              `json:"pool"`
	Owner     string              `json:"owner"`
	Upstreams []ExplainedUpstream `json:"upstreams"`
	// Steps are the routing decisions in order.
	Steps []string `json:"steps"`
}

// ExplainedUpstream states whether an upstream is eligible for a request, and why.
type ExplainedUpstream struct {
	Name     string `json:"name"`
	Eligible bool   `json:"eligible"`
	Why      string `json:"why"`
}

// Order is an order to an upstream, for example to load a model.
type Order struct {
	Upstream string `json:"upstream"`
	// Verb is a word that the upstream knows, such as load_model.
	Verb     string `json:"verb"`
	Argument string `json:"argument"`
}
