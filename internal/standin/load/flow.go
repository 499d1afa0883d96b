// Package load is a small open-loop load driver: it sends mixed calls to entry
// instances found by discovery, compares each answer with the one that the stand-ins
// must give, and reports the outcome of each call.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Values of Flow.Type.
const (
	// Model is a streamed model call.
	Model = "model"
	// Service is an idempotent call to a plain service.
	Service = "service"
	// Booking is a call that must run at most once.
	Booking = "booking"
)

// Flow describes the calls of one request kind from one caller.
type Flow struct {
	// Kind is the request kind, Type one of Model, Service and Booking.
	Kind, Type string
	// Tier is used for output and the summary only; the tier that applies to the
	// calls is set in the configuration.
	Tier int
	// Model is the name of the model of model calls.
	Model string
	Token string
	// Rate is the mean number of calls per second; arrivals are independent.
	Rate     float64
	Deadline time.Duration
	// MinTokens and MaxTokens are the bounds of the answer length of model calls.
	MinTokens, MaxTokens int
	// PromptBytes is the minimum length of the question of model calls; shorter ones
	// are padded.
	PromptBytes int
	// Labels are sent with each call.
	Labels map[string]string
}

// ParseFlow parses a flow of the form "kind=chat,type=model,rate=5". Labels are
// given as "label.key=value".
func ParseFlow(text string) (Flow, error) {
	flow := Flow{Type: Model, Model: "small", Rate: 1, Deadline: 10 * time.Second, MinTokens: 5, MaxTokens: 60, PromptBytes: 200, Labels: map[string]string{}}
	for _, pair := range strings.Split(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found {
			return flow, fmt.Errorf("flow %q: %q is not of the form key=value", text, pair)
		}
		if err := flow.setField(key, value); err != nil {
			return flow, fmt.Errorf("flow %q: %s: %w", text, key, err)
		}
	}
	return flow, flow.validate(text)
}

func (f *Flow) setField(key, value string) error {
	var err error
	label, isLabel := strings.CutPrefix(key, "label.")
	if isLabel {
		f.Labels[label] = value
		return nil
	}
	switch key {
	case "kind":
		f.Kind = value
	case "type":
		f.Type = value
	case "model":
		f.Model = value
	case "token":
		f.Token = value
	case "tier":
		f.Tier, err = strconv.Atoi(value)
	case "rate":
		f.Rate, err = strconv.ParseFloat(value, 64)
	case "deadline":
		f.Deadline, err = time.ParseDuration(value)
	case "min-tokens":
		f.MinTokens, err = strconv.Atoi(value)
	case "max-tokens":
		f.MaxTokens, err = strconv.Atoi(value)
	case "prompt-bytes":
		f.PromptBytes, err = strconv.Atoi(value)
	default:
		err = fmt.Errorf("unknown key")
	}
	return err
}

func (f *Flow) validate(text string) error {
	switch {
	case f.Kind == "":
		return fmt.Errorf("flow %q: kind is missing", text)
	case f.Type != Model && f.Type != Service && f.Type != Booking:
		return fmt.Errorf("flow %q: type is not %s, %s or %s", text, Model, Service, Booking)
	case f.Rate <= 0 || f.Deadline <= 0:
		return fmt.Errorf("flow %q: rate and deadline must be positive", text)
	case f.MinTokens < 1 || f.MaxTokens < f.MinTokens:
		return fmt.Errorf("flow %q: min-tokens must be from 1 to max-tokens", text)
	}
	return nil
}
