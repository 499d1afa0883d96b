package main

import (
	"encoding/json"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/citrongate/citrongate/internal/account"
)

// site holds the fields that are used of the bench's site file, which describes a deployment.
type site struct {
	Services []service `toml:"services"`
	Classes  []class   `toml:"classes"`
}

type service struct {
	Name    string `toml:"name"`
	Slots   int    `toml:"slots"`
	Servers []struct {
		Count int `toml:"count"`
	} `toml:"servers"`
	// Speeds are factors on all durations, assigned to the servers in turn.
	Speeds []float64 `toml:"speeds"`
	LLM    *struct {
		Batch          int     `toml:"batch"`
		StepMs         float64 `toml:"step_ms"`
		StepMsPerSlot  float64 `toml:"step_ms_per_slot"`
		PrefillPerMs   float64 `toml:"prefill_tokens_per_ms"`
		TokensPerEvent float64 `toml:"stride"`
		KVCacheTokens  uint64  `toml:"kv_tokens"`
	} `toml:"llm"`
}

type class struct {
	Name   string  `toml:"name"`
	GoalMs float64 `toml:"aim_ms"`
	// Worth is the value that a request earns if it is answered in time.
	Worth    float64 `toml:"worth"`
	Priority int     `toml:"priority"`
	Service  string  `toml:"service"`
	Stream   struct {
		Events mean `toml:"pieces"`
		Prompt mean `toml:"prompt_tokens"`
	} `toml:"stream"`
}

type mean struct {
	Mean float64 `toml:"mean"`
}

// report holds the fields that are used of the bench's report on a day.
type report struct {
	Classes    []classResult     `json:"classes"`
	Windows    []json.RawMessage `json:"windows"`
	UnservedBy []unservedCount   `json:"unserved_by"`
	Prices     []price           `json:"prices"`
	Hints      []string          `json:"hints"`
}

type classResult struct {
	Name string `json:"name"`
	// N is the number of requests, NotOwed that of the requests which do not count.
	N       float64 `json:"n"`
	NotOwed float64 `json:"not_owed"`
	// Worth is the fraction of the class's owed value that was earned.
	Worth float64 `json:"worth"`
}

// owed returns the number of requests that count in the bench's score.
func (c classResult) owed() float64 { return c.N - c.NotOwed }

// unservedCount is an answer and the number of owed requests that ended unserved with
// it as their last answer.
type unservedCount struct {
	answer string
	count  int
}

// UnmarshalJSON reads the first two elements of a list: the answer and the count.
func (u *unservedCount) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&u.answer, &u.count})
}

// price is the name of a deduction from the score and the fraction of the value that
// it costs.
type price struct {
	name     string
	fraction float64
}

// UnmarshalJSON reads a list of three elements: the name, an amount that is not used,
// and the fraction.
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, nil, &p.fraction})
}

func readSite(path string) (*site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &site{}
	return s, toml.Unmarshal(text, s)
}

func readReport(path string) (*report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &report{}
	return r, json.Unmarshal(text, r)
}

// engineService returns the service whose servers are model engines, or nil.
func (s *site) engineService() *service {
	for i := range s.Services {
		if s.Services[i].LLM != nil {
			return &s.Services[i]
		}
	}
	return nil
}

// serverCount returns the number of servers of the service.
func (s *service) serverCount() int {
	n := 0
	for _, group := range s.Servers {
		n += group.Count
	}
	return n
}

// engineCosts returns the step costs of each engine of the service.
func (s *service) engineCosts() []account.Engine {
	var out []account.Engine
	for i := range s.serverCount() {
		e := account.Engine{StepMs: s.LLM.StepMs, SlotMs: s.LLM.StepMsPerSlot, PromptPerMs: s.LLM.PrefillPerMs, Batch: s.LLM.Batch, Slowness: 1}
		if len(s.Speeds) > 0 {
			e.Slowness = s.Speeds[i%len(s.Speeds)]
		}
		out = append(out, e)
	}
	return out
}
