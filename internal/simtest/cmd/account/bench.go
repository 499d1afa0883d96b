package main

import (
	"encoding/json"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/citrongate/citrongate/internal/account"
)

// site is the part of the bench's description of a deployment that is used.
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
	// Speeds are factors on all times, one for each server in turn.
	Speeds []float64 `toml:"speeds"`
	LLM    *struct {
		Batch           int     `toml:"batch"`
		StepMs          float64 `toml:"step_ms"`
		StepMsPerSlot   float64 `toml:"step_ms_per_slot"`
		PrefillPerMs    float64 `toml:"prefill_tokens_per_ms"`
		TokensPerEvent  float64 `toml:"stride"`
		MemoryOfATokens uint64  `toml:"kv_tokens"`
	} `toml:"llm"`
}

type class struct {
	Name     string  `toml:"name"`
	GoalMs   float64 `toml:"aim_ms"`
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

// report is the part of the bench's report on a day that is used.
type report struct {
	Classes    []classResult     `json:"classes"`
	Windows    []json.RawMessage `json:"windows"`
	UnservedBy []lost            `json:"unserved_by"`
	Prices     []price           `json:"prices"`
	Hints      []string          `json:"hints"`
}

type classResult struct {
	Name    string  `json:"name"`
	N       float64 `json:"n"`
	NotOwed float64 `json:"not_owed"`
	// Worth is the part of the owed worth that was earned.
	Worth float64 `json:"worth"`
}

// owed returns the number of requests that count.
func (c classResult) owed() float64 { return c.N - c.NotOwed }

// lost is a last answer and the number of owed requests that ended with it
// without being served.
type lost struct {
	answer string
	count  int
}

// UnmarshalJSON reads the first two elements of a list.
func (l *lost) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&l.answer, &l.count})
}

// price is a name and the part of the worth that it costs.
type price struct {
	name string
	part float64
}

// UnmarshalJSON reads a list of three elements, of which the second is an amount.
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, nil, &p.part})
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

// engines returns the service that is a group of model engines, or nil.
func (s *site) engines() *service {
	for i := range s.Services {
		if s.Services[i].LLM != nil {
			return &s.Services[i]
		}
	}
	return nil
}

// size returns the number of servers of the service.
func (s *service) size() int {
	n := 0
	for _, group := range s.Servers {
		n += group.Count
	}
	return n
}

// list returns the engines of the service.
func (s *service) list() []account.Engine {
	var out []account.Engine
	for i := range s.size() {
		e := account.Engine{StepMs: s.LLM.StepMs, SlotMs: s.LLM.StepMsPerSlot, PromptPerMs: s.LLM.PrefillPerMs, Batch: s.LLM.Batch, Slowness: 1}
		if len(s.Speeds) > 0 {
			e.Slowness = s.Speeds[i%len(s.Speeds)]
		}
		out = append(out, e)
	}
	return out
}
