package eventlog

import "github.com/rs/zerolog"

// AnswerHeldBack is written for each answer whose upstream has to wait for the caller.
type AnswerHeldBack struct {
	RequestID    string  `json:"request_id" about:"the caller's id of this attempt"`
	Organisation string  `json:"organisation" about:"organisation that the key belongs to, or none"`
	Upstream     string  `json:"upstream" about:"upstream that has to wait"`
	WaitedMs     float64 `json:"waited_ms" about:"time since the request was read"`
	Held         uint64  `json:"held" about:"bytes in the answer buffer"`
}

// Spec describes the line.
func (AnswerHeldBack) Spec() Spec {
	return Spec{"answer held back", zerolog.InfoLevel, perDecision, "a caller reads slowly and the answer buffer has no room for the rest of its answer, so that the upstream stays occupied until the caller has read it"}
}

// AnswerAborted is written for each answer that is aborted to keep the bound of the answer buffer.
type AnswerAborted struct {
	RequestID    string  `json:"request_id" about:"the caller's id of this attempt"`
	Organisation string  `json:"organisation" about:"organisation that the key belongs to, or none"`
	WaitedMs     float64 `json:"waited_ms" about:"time since the request was read"`
	Held         uint64  `json:"held" about:"bytes in the answer buffer"`
}

// Spec describes the line.
func (AnswerAborted) Spec() Spec {
	return Spec{"answer aborted", zerolog.WarnLevel, perDecision, "more answers wait for callers that read slowly than answer_buffer_mb has room for; the connection of the slowest caller with the largest unread rest was closed"}
}

// RequestHeldBack is written for each request that waits since its upstream has too many bytes of
// requests to answer.
type RequestHeldBack struct {
	RequestID string `json:"request_id" about:"the caller's id of this attempt"`
	Address   string `json:"address" about:"address of the upstream"`
	Body      int    `json:"body" about:"size of the request's body in bytes"`
}

// Spec describes the line.
func (RequestHeldBack) Spec() Spec {
	return Spec{"request held back", zerolog.InfoLevel, perDecision, "the upstream has not answered requests with upstream_request_mb of bodies of this instance; the request waits for a moment and then goes to another upstream"}
}
