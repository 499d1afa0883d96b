package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// The platform's names of headers, paths and fields stand in data files: no Go code outside
// platform/ holds them.
var (
	//go:embed names.json
	namesText []byte
	//go:embed configuration.json
	configurationText string
	//go:embed server.json
	serverText string
)

// names are the names of headers and paths that the stand-ins look up.
var names struct {
	ID, Expect, Seal, NotRun, Tenant, RetryAfter string
	Ready, Objects                               string
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}

// filled returns a template with its placeholders replaced.
func filled(template string, values ...string) json.RawMessage {
	return json.RawMessage(strings.NewReplacer(values...).Replace(template))
}
