// Package service is a stand-in for a plain HTTP service. Its ledger counts
// the runs of each idempotency key, request id and call name, so that a test can
// tell whether a call ran, and how often.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citrongate/citrongate/internal/standin/jsonhttp"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Config holds the properties of the stand-in.
type Config struct {
	// Work is the processing time of each call.
	Work time.Duration
}

// Faults are the injected faults, set through the control API.
type Faults struct {
	// DelayMs is added to the processing time of each call.
	DelayMs int64 `json:"delay_ms"`
	// Fail makes each call answer 500 without running.
	Fail bool `json:"fail"`
	// DropRequests is the number of further calls whose connection is closed
	// before they run.
	DropRequests int64 `json:"drop_requests"`
	// DropAnswers is the number of further calls whose connection is closed after
	// they ran, instead of an answer.
	DropAnswers int64 `json:"drop_answers"`
	// MismatchAnswers is the number of further answers that carry the wrong request id.
	MismatchAnswers int64 `json:"mismatch_answers"`
}

// Ledger counts runs since the process started.
type Ledger struct {
	// ByKey counts runs per idempotency key, for calls that carried one.
	ByKey map[string]int `json:"by_key"`
	// ByRequest counts runs per request id.
	ByRequest map[string]int `json:"by_request"`
	// ByName counts runs per call name.
	ByName map[string]int `json:"by_name"`
}

// Answer is the body of a successful call.
type Answer struct {
	Call           string `json:"call"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Run is the sequence number of this run among all runs of the service.
	Run int `json:"run"`
	// Received is the request body.
	Received string `json:"received"`
}

// Service is one stand-in service.
type Service struct {
	config Config

	mu     sync.Mutex
	faults Faults
	ledger Ledger
	runs   int
}

// New returns a service with an empty ledger.
func New(config Config) *Service {
	return &Service{config: config, ledger: Ledger{ByKey: map[string]int{}, ByRequest: map[string]int{}, ByName: map[string]int{}}}
}

// Handler serves calls and the control API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{name}", s.call)
	mux.HandleFunc("GET /control/ledger", s.getLedger)
	mux.HandleFunc("GET /control/state", s.getState)
	mux.HandleFunc("POST /control/state", s.setState)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.consumeFaults()
	if faults.Fail {
		http.Error(w, "failure injected through the control API", http.StatusInternalServerError)
		return
	}
	if faults.DropRequests > 0 {
		panic(http.ErrAbortHandler)
	}
	answer := s.recordRun(r, string(body))
	time.Sleep(s.config.Work + time.Duration(faults.DelayMs)*time.Millisecond)
	if faults.DropAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	id := answer.RequestID
	if faults.MismatchAnswers > 0 {
		id = "other-" + id
	}
	w.Header().Set("X-Request-Id", id)
	jsonhttp.Write(w, answer)
}

// consumeFaults returns the faults that apply to one call and decrements the
// counted ones. A call that fails consumes none of these.
func (s *Service) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	applies := s.faults
	if s.faults.Fail {
		return applies
	}
	for _, remaining := range []*int64{&s.faults.DropRequests, &s.faults.DropAnswers, &s.faults.MismatchAnswers} {
		*remaining = max(0, *remaining-1)
	}
	return applies
}

// recordRun counts the call in the ledger and returns its answer.
func (s *Service) recordRun(r *http.Request, body string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Answer{
		Call: r.PathValue("name"), RequestID: r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Received: body,
	}
	s.runs++
	answer.Run = s.runs
	s.ledger.ByName[answer.Call]++
	s.ledger.ByRequest[answer.RequestID]++
	if answer.IdempotencyKey != "" {
		s.ledger.ByKey[answer.IdempotencyKey]++
	}
	return answer
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, s.ledger)
}

func (s *Service) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, s.faults)
}

// setState updates the faults that are present in the request body.
func (s *Service) setState(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&changed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults = changed
	jsonhttp.Write(w, s.faults)
}
