package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/settings"
)

var (
	presentSection = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	absentSection  = regexp.MustCompile(`(?s)\{\{\^([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	variable       = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a Mustache template as the platform does. A variable without a
// value is empty.
func render(template string, values map[string]string) string {
	keep := func(pattern *regexp.Regexp, kept func(name string) bool) {
		template = pattern.ReplaceAllStringFunc(template, func(text string) string {
			parts := pattern.FindStringSubmatch(text)
			if kept(parts[1]) {
				return parts[2]
			}
			return ""
		})
	}
	keep(presentSection, func(name string) bool { return values[name] != "" })
	keep(absentSection, func(name string) bool { return values[name] == "" })
	return variable.ReplaceAllStringFunc(template, func(text string) string { return values[variable.FindStringSubmatch(text)[1]] })
}

// TestTemplate guards against a deployment whose processes do not start because of
// bounds and limits that the platform sets with decimals or leaves out.
func TestTemplate(t *testing.T) {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "entry.ini.template"))
	require.NoError(t, err)
	always := map[string]string{"nodeName": "front-1", "zone": "z", "region": "r", "listenAddrs.front": "10.0.0.1:1", "listenAddrs.ready": "10.0.0.1:2",
		"listenAddrs.directory": "10.0.0.1:3", "listenAddrs.control": "10.0.0.1:4", "ip": "10.0.0.1", "portRange.0": "5", "platform.address": "10.0.0.2:1"}
	all := map[string]string{"bounds.graceS": "7.5", "bounds.drainMs": "2666.6666666666665", "bounds.configApplyMs": "1333.3", "bounds.strictRevoke": "true",
		"bounds.revokeMs": "5000.5", "bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10.5", "bounds.budgetExtra": "37.28813559322034", "bounds.ttl_max_s": "4.5",
		"limits.memoryMb": "283.75", "limits.maxFds": "4100.0", "bounds.quotaWindowS": "8.25", "bounds.quotaOver": "0.125", "bounds.quotaSlack": "140000.5",
		"bounds.exposeShare": "0.1", "bounds.exposeSlack": "50.0", "bounds.rollbackMs": "5000.0"}
	for _, values := range []map[string]string{{}, all} {
		for name, value := range always {
			values[name] = value
		}
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(render(string(template), values)), 0o600))
		_, err := settings.Load(file)
		require.NoError(t, err)
	}
}
