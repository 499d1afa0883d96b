package eventlog

import "github.com/rs/zerolog"

// Budgets in lines per second and kind. A process at its limits takes some
// hundred requests a second.
const (
	perRequest  = 300
	perFault    = 20
	perDecision = 10
)

// RequestSent is written for each send of a request.
type RequestSent struct {
	RequestID     string  `json:"request_id" about:"the caller's id of this attempt"`
	Organisation  string  `json:"organisation" about:"that the key belongs to, or none"`
	Route         string  `json:"route" about:"by host and path"`
	Priority      int     `json:"priority" about:"of the route; 0 is the most urgent"`
	GoalMs        float64 `json:"goal_ms" about:"time to the answer, or to its first event, that the route aims at"`
	GapGoalMs     float64 `json:"gap_goal_ms" about:"longest pause between events that the route aims at; 0 if none"`
	Send          int     `json:"send" about:"1 for the first send of the request"`
	Upstream      string  `json:"upstream" about:"id and start of the server"`
	Address       string  `json:"address" about:"of the server"`
	QueuedMs      float64 `json:"queued_ms" about:"since the request was read"`
	LeftMs        float64 `json:"left_ms" about:"until its deadline"`
	After         string  `json:"after,omitempty" about:"event after which the stream goes on"`
	ConfigVersion uint64  `json:"config_version" about:"by which the request was judged"`
	ConfigAgeMs   float64 `json:"config_age_ms" about:"since that version was last confirmed; -1 if never"`
}

// Spec describes the line.
func (RequestSent) Spec() Spec {
	return Spec{"request sent", zerolog.InfoLevel, perRequest, "a request was given to an upstream"}
}

// SendFailed is written for each send that brought no whole answer.
type SendFailed struct {
	RequestID string  `json:"request_id" about:"the caller's id of this attempt"`
	Send      int     `json:"send" about:"1 for the first send of the request"`
	Upstream  string  `json:"upstream" about:"id and start of the server"`
	WireID    string  `json:"wire_id,omitempty" about:"id that the server saw, where it is another"`
	Status    string  `json:"status" about:"not sent, not run, failed, broken, mismatched, expired or canceled"`
	Code      int     `json:"code,omitempty" about:"HTTP status of the server"`
	Detail    string  `json:"detail,omitempty" about:"what was seen"`
	AfterMs   float64 `json:"after_ms" about:"since the send"`
	Events    uint64  `json:"events" about:"whole events that were relayed"`
}

// Spec describes the line.
func (SendFailed) Spec() Spec {
	return Spec{"send failed", zerolog.InfoLevel, perRequest, "a send did not bring a whole answer; the request may be sent again"}
}

// RequestAnswered is written for each answer of an upstream that was relayed whole.
type RequestAnswered struct {
	RequestID    string  `json:"request_id" about:"the caller's id of this attempt"`
	Upstream     string  `json:"upstream" about:"id and start of the server"`
	Code         int     `json:"code" about:"HTTP status of the server"`
	QueuedMs     float64 `json:"queued_ms" about:"from reading the request to the last send"`
	FirstMs      float64 `json:"first_ms" about:"from the last send to the first event; 0 without events"`
	LongestGapMs float64 `json:"longest_gap_ms" about:"longest pause between two events"`
	TotalMs      float64 `json:"total_ms" about:"from reading the request to the end of the answer"`
	Events       uint64  `json:"events" about:"whole events"`
	Prompt       uint64  `json:"prompt" about:"tokens that the caller stated"`
	Cost         float64 `json:"cost" about:"against the organisation's quota, in its unit"`
}

// Spec describes the line.
func (RequestAnswered) Spec() Spec {
	return Spec{"request answered", zerolog.InfoLevel, perRequest, "the whole answer of an upstream, of any status, was relayed"}
}

// RequestRefused is written for each request that ends without an upstream's
// whole answer.
type RequestRefused struct {
	RequestID     string  `json:"request_id" about:"the caller's id of this attempt; empty if the request has none"`
	Organisation  string  `json:"organisation" about:"that the key belongs to, or none"`
	Route         string  `json:"route" about:"by host and path, or the kind of an entry instance's request; empty if none matches"`
	Priority      int     `json:"priority" about:"of the route; 0 is the most urgent, or if no route matches"`
	GoalMs        float64 `json:"goal_ms" about:"time to the answer, or to its first event, that the route aims at"`
	Path          string  `json:"path,omitempty" about:"of a request that no route matches"`
	Reason        string  `json:"reason" about:"code of the refusal"`
	Detail        string  `json:"detail" about:"why"`
	Ran           string  `json:"ran" about:"no, yes or unknown"`
	Status        int     `json:"status" about:"HTTP status for the caller; 0 if the answer was cut"`
	WaitedMs      float64 `json:"waited_ms" about:"since the request was read"`
	RetryAfterMs  float64 `json:"retry_after_ms" about:"that the caller was advised"`
	Sends         int     `json:"sends" about:"how often it was sent"`
	Started       bool    `json:"started" about:"whether a part of an answer had been relayed"`
	Cost          float64 `json:"cost" about:"against the organisation's quota, in its unit"`
	ConfigVersion uint64  `json:"config_version" about:"by which the request was judged; 0 if none"`
	ConfigAgeMs   float64 `json:"config_age_ms" about:"since that version was last confirmed; -1 if never"`
}

// Spec describes the line.
func (RequestRefused) Spec() Spec {
	return Spec{"request refused", zerolog.InfoLevel, perRequest, "a request ended without the whole answer of an upstream"}
}

// CallerLeft is written for each request whose caller closed its connection.
type CallerLeft struct {
	RequestID string  `json:"request_id" about:"the caller's id of this attempt"`
	Sends     int     `json:"sends" about:"how often it was sent"`
	Upstream  string  `json:"upstream,omitempty" about:"that was at work on it"`
	WaitedMs  float64 `json:"waited_ms" about:"since the request was read"`
	Events    uint64  `json:"events" about:"whole events that were relayed"`
}

// Spec describes the line.
func (CallerLeft) Spec() Spec {
	return Spec{"caller left", zerolog.InfoLevel, perRequest, "a caller closed its connection before its answer had ended"}
}

// OrderSent is written for each operator's order that was sent to an upstream.
type OrderSent struct {
	Upstream      string `json:"upstream" about:"that it is for"`
	Verb          string `json:"verb" about:"what is ordered"`
	FencingNumber uint64 `json:"fencing_number" about:"by which the upstream tells outdated orders"`
	Status        string `json:"status" about:"what the upstream answered"`
}

// Spec describes the line.
func (OrderSent) Spec() Spec {
	return Spec{"order sent", zerolog.InfoLevel, perDecision, "an operator's order was sent to an upstream"}
}

// InstanceStarted is written once by each process.
type InstanceStarted struct {
	Version   string `json:"version" about:"of the program"`
	Caller    string `json:"caller" about:"address for callers"`
	Ready     string `json:"ready,omitempty" about:"address for readiness, of a gateway"`
	Discovery string `json:"discovery,omitempty" about:"address for discovery, of a gateway"`
	Peer      string `json:"peer" about:"address for other instances"`
	Admin     string `json:"admin" about:"address for operators and metrics"`
}

// Spec describes the line.
func (InstanceStarted) Spec() Spec {
	return Spec{"instance started", zerolog.InfoLevel, perDecision, "all addresses are served"}
}

// StopStarted is written at the start of a planned stop.
type StopStarted struct {
	GraceMs float64 `json:"grace_ms" about:"time for what is in progress"`
}

// Spec describes the line.
func (StopStarted) Spec() Spec {
	return Spec{"planned stop started", zerolog.InfoLevel, perDecision, "SIGTERM or SIGINT came"}
}

// StopFinished is written at the end of a planned stop.
type StopFinished struct {
	AtOnce bool `json:"at_once" about:"whether a second signal cut what was in progress"`
}

// Spec describes the line.
func (StopFinished) Spec() Spec {
	return Spec{"planned stop finished", zerolog.InfoLevel, perDecision, "the process ends"}
}

// SettingsFaulty is written at a reload that changes nothing.
type SettingsFaulty struct {
	Error string `json:"error" about:"all faults of the settings"`
}

// Spec describes the line.
func (SettingsFaulty) Spec() Spec {
	return Spec{"changed settings not used", zerolog.ErrorLevel, perDecision, "SIGHUP came and the settings have a fault"}
}

// SettingsRead is written at a reload.
type SettingsRead struct{}

// Spec describes the line.
func (SettingsRead) Spec() Spec {
	return Spec{"settings read again", zerolog.InfoLevel, perDecision, "SIGHUP came and the settings have no fault"}
}

// ReadinessChanged is written when this instance starts or stops taking callers.
type ReadinessChanged struct {
	Ready     bool   `json:"ready" about:"whether callers are sent here"`
	Reason    string `json:"reason" about:"why not; empty if ready"`
	Instances int    `json:"instances" about:"instances that callers may use"`
}

// Spec describes the line.
func (ReadinessChanged) Spec() Spec {
	return Spec{"readiness changed", zerolog.InfoLevel, perDecision, "readiness, or the reason against it, changed"}
}

// ConfigInForce is written when a configuration or other upstreams come into force.
type ConfigInForce struct {
	Version       uint64  `json:"version" about:"of the operator's configuration"`
	Routes        int     `json:"routes" about:"number of routes"`
	Upstreams     int     `json:"upstreams" about:"number of upstreams that are registered"`
	Organisations int     `json:"organisations" about:"number of organisations"`
	AgeMs         float64 `json:"age_ms" about:"since the read that showed it began"`
}

// Spec describes the line.
func (ConfigInForce) Spec() Spec {
	return Spec{"configuration in force", zerolog.InfoLevel, perDecision, "the configuration or the list of upstreams changed"}
}

// TableInForce is written when the node routes by a new table.
type TableInForce struct {
	Revision uint64 `json:"revision" about:"counted by this process"`
}

// Spec describes the line.
func (TableInForce) Spec() Spec {
	return Spec{"routing table in force", zerolog.InfoLevel, perDecision, "requests are routed by a new table"}
}

// StoreLost is written when reads of the store begin to fail.
type StoreLost struct {
	Error string `json:"error" about:"of the first failed read"`
}

// Spec describes the line.
func (StoreLost) Spec() Spec {
	return Spec{"store lost", zerolog.WarnLevel, perDecision, "a read of the store failed after one that did not"}
}

// StoreRegained is written when reads of the store succeed again.
type StoreRegained struct {
	AwayMs float64 `json:"away_ms" about:"since the last whole read before"`
}

// Spec describes the line.
func (StoreRegained) Spec() Spec {
	return Spec{"store regained", zerolog.InfoLevel, perDecision, "a read of the store succeeded after one that failed"}
}

// EntriesUnused is written for entries of the store that are not usable.
type EntriesUnused struct {
	Kind    string `json:"kind" about:"upstreams or instances"`
	Entries int    `json:"entries" about:"how many"`
	Error   string `json:"error" about:"of the first one"`
}

// Spec describes the line.
func (EntriesUnused) Spec() Spec {
	return Spec{"entries of the store are not used", zerolog.WarnLevel, perDecision, "entries of other writers name nothing to use; at most every 10 s"}
}

// NotAnnounced is written for each failed attempt to announce this instance.
type NotAnnounced struct {
	Error string `json:"error" about:"of the write"`
}

// Spec describes the line.
func (NotAnnounced) Spec() Spec {
	return Spec{"instance not announced", zerolog.WarnLevel, perDecision, "the store did not take this instance's entry; it is tried again every second"}
}

// QuotaInForce is written for each quota of a new configuration.
type QuotaInForce struct {
	Organisation string  `json:"organisation" about:"that it bounds"`
	PerSecond    float64 `json:"per_second" about:"over all instances, in its unit, with the part of the tolerance that is used"`
	Burst        float64 `json:"burst" about:"over all instances, in its unit"`
}

// Spec describes the line.
func (QuotaInForce) Spec() Spec {
	return Spec{"quota in force", zerolog.DebugLevel, perRequest, "a configuration with quotas came into force"}
}

// PoolState is written for each pool twice a second.
type PoolState struct {
	Pool        uint64 `json:"pool" about:"id of the pool"`
	Local       bool   `json:"local" about:"whether this instance schedules it on its own, without the owner"`
	Upstreams   int    `json:"upstreams" about:"number of its upstreams"`
	Quarantined int    `json:"quarantined" about:"how many of these get no new work"`
	InFlight    int    `json:"in_flight" about:"requests at them"`
	Limit       int    `json:"limit" about:"sum of their limits"`
	Waiting     int    `json:"waiting" about:"requests that wait"`
}

// Spec describes the line.
func (PoolState) Spec() Spec {
	return Spec{"pool scheduled here", zerolog.DebugLevel, perRequest, "twice a second at the owner of a pool"}
}

// InternalFault is written where something failed that should not.
type InternalFault struct {
	What  string `json:"what" about:"what failed"`
	Error string `json:"error" about:"how"`
}

// Spec describes the line.
func (InternalFault) Spec() Spec {
	return Spec{"internal fault", zerolog.ErrorLevel, perFault, "report it to the developers"}
}

// LinesDropped is written in the second after lines were dropped.
type LinesDropped struct {
	Kind    string `json:"kind" about:"message of the lines, or all if the reader of the log was too slow"`
	Dropped int    `json:"dropped" about:"how many were not written"`
}

// Spec describes the line.
func (LinesDropped) Spec() Spec {
	return Spec{"log lines dropped", zerolog.WarnLevel, perRequest, "the budget of a kind of line was used up, or the reader of the log was too slow"}
}

// All holds one line of each kind.
var All = []Line{
	RequestSent{}, SendFailed{}, RequestAnswered{}, RequestRefused{}, CallerLeft{}, OrderSent{},
	InstanceStarted{}, StopStarted{}, StopFinished{}, SettingsRead{}, SettingsFaulty{}, ReadinessChanged{}, ConfigInForce{}, TableInForce{},
	StoreLost{}, StoreRegained{}, EntriesUnused{}, NotAnnounced{}, QuotaInForce{}, PoolState{}, InternalFault{}, LinesDropped{},
}
