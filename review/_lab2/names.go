package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names stand in a data file: no Go code outside platform/ holds them.
//
//go:embed names.json
var namesText []byte

// names are the platform's names that the stand-ins use.
var names struct {
	// Headers and a path.
	ID, Deadline, Key, Tenant, Tokens, Prompt, Model, LastEvent string
	Expect, Seal, NotRun, Instance, Load                        string
	Ready                                                       string
	// Fields of the configuration and of servers' entries.
	Prefix, Timeout, Goal, GapGoal, Keys, PlainTokens, Rate, MaxConns, Capacity, ColdLeft string
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}

// object returns a route as it is stored.
func (r *route) object() map[string]any {
	return map[string]any{"name": r.Name, "host": r.Host, names.Prefix: r.PathPrefix, "kind": r.Kind, names.Timeout: r.TimeoutMs,
		names.Goal: r.GoalMs, names.GapGoal: r.GapGoalMs, "priority": r.Priority, "service": r.Service, "attempts": r.Attempts,
		"sticky": r.Sticky, "resumable": r.Resumable}
}

// object returns a tenant as it is stored.
func (t *tenant) object() map[string]any {
	return map[string]any{"name": t.Name, names.Keys: t.APIKeys, "unit": t.Unit, names.PlainTokens: t.PlainTokens,
		names.Rate: t.RatePerS, "burst": t.Burst}
}

// objects returns the stored form of a list, which is never null.
func objects[T any, P interface {
	*T
	object() map[string]any
}](list []T) []map[string]any {
	stored := make([]map[string]any, 0, len(list))
	for i := range list {
		stored = append(stored, P(&list[i]).object())
	}
	return stored
}
