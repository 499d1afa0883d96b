package client

// Status is what one instance reports of itself and of what it knows.
type Status struct {
	Name           string           `json:"name"`
	Incarnation    string           `json:"incarnation"`
	FailureDomain  string           `json:"failure_domain"`
	Cell           string           `json:"cell"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready_reason"`
	Draining       bool             `json:"draining"`
	ConfigRevision uint64           `json:"config_revision"`
	StoreAvailable bool             `json:"store_available"`
	Instances      []InstanceStatus `json:"instances"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
	Tiers          []TierStatus     `json:"tiers"`
	Counters       []Counter        `json:"counters"`
}

// InstanceStatus is one entry instance.
type InstanceStatus struct {
	Incarnation string `json:"incarnation"`
	// State is "alive", "suspect", "leaving" or "dead".
	State          string `json:"state"`
	CallerAddress  string `json:"caller_address"`
	AdminAddress   string `json:"admin_address"`
	FailureDomain  string `json:"failure_domain"`
	ConfigRevision uint64 `json:"config_revision"`
}

// UpstreamStatus is one upstream as its pool's owner sees it.
type UpstreamStatus struct {
	Name         string  `json:"name"`
	State        string  `json:"state"`
	Limit        uint32  `json:"limit"`
	InFlight     uint32  `json:"in_flight"`
	TTFTMs       float64 `json:"ttft_ms"`
	InterTokenMs float64 `json:"inter_token_ms"`
	Straggler    bool    `json:"straggler"`
}

// TierStatus counts the work of one tier in the pools that the instance owns.
type TierStatus struct {
	Tier     uint32 `json:"tier"`
	Waiting  uint32 `json:"waiting"`
	InFlight uint32 `json:"in_flight"`
}

// Counter is one counter of the instance.
type Counter struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Value  uint64 `json:"value"`
}

// Explanation says where a request would go and why.
type Explanation struct {
	Route     string                `json:"route"`
	Tier      string                `json:"tier"`
	Pool      string                `json:"pool"`
	Owner     string                `json:"owner"`
	Upstreams []UpstreamExplanation `json:"upstreams"`
	// Steps are the decisions in their order.
	Steps []string `json:"steps"`
}

// UpstreamExplanation says whether an upstream may serve the request.
type UpstreamExplanation struct {
	Name     string `json:"name"`
	Eligible bool   `json:"eligible"`
	Why      string `json:"why"`
}
