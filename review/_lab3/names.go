package main

import (
	_ "embed"
	"encoding/json"
)

// namesText has the platform's names, which stand in no Go code outside platform/.
//
//go:embed names.json
var namesText []byte

// names are the platform's names of headers, paths and fields.
var names = readNames()

type nameSet struct {
	ID, Deadline, Key, Tokens, Parts, Expect, Seal                                        string
	Ready, Objects                                                                        string
	Prefix, Timeout, Goal, GapGoal, Keys, PlainTokens, Rate, MaxConns, Capacity, ColdLeft string
}

func readNames() (set nameSet) {
	if err := json.Unmarshal(namesText, &set); err != nil {
		panic(err)
	}
	return set
}
