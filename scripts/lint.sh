#!/usr/bin/env bash
# Fails if formatter, vet, staticcheck or buf lint reports a finding, or if the
# generated code is stale.
set -euo pipefail
cd "$(dirname "$0")/.."
tool() { go tool -modfile=tools/go.mod "$@"; }

unformatted=$(git ls-files -co --exclude-standard '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'lint: run gofmt -w on:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
tool staticcheck ./...
tool buf lint

before=$(cat proto/citrongate/v1/*.pb.go | sha256sum)
tool buf generate
after=$(cat proto/citrongate/v1/*.pb.go | sha256sum)
if [ "$before" != "$after" ]; then
  echo 'lint: generated code was stale; commit the result of make generate'
  exit 1
fi
echo 'lint: ok'
