GO ?= go
TOOL := $(GO) tool -modfile=tools/go.mod
SEED ?= 1
export GOFLAGS ?= -buildvcs=false

.PHONY: setup build demo test soak lint measure experiment invariants scale fleet generate fuzz

setup: ## download modules and build the tools
	$(GO) mod download
	$(GO) mod download -modfile=tools/go.mod
	$(GO) build -o bin/ ./cmd/...

build: ## build the programs into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run all tests, with the race detector
	GO=$(GO) bash scripts/test.sh

RAPID_PACKAGES = $(shell grep -ln 'pgregory.net/rapid' -r pkg internal --include=*_test.go | xargs -n1 dirname | sort -u | sed 's,^,./,')

soak: ## run the generated tests with new seeds and more cases
	$(GO) test -count=1 $(RAPID_PACKAGES) -rapid.seed=0 -rapid.checks=1000

FUZZTIME ?= 20s

fuzz: ## run each fuzz target for FUZZTIME
	grep -rno 'func Fuzz[A-Za-z]*' --include=*_test.go internal pkg | while IFS=: read -r file _ target; do \
		$(GO) test ./$$(dirname $$file) -run '^$$' -fuzz "^$${target#func }$$" -fuzztime $(FUZZTIME) || exit 1; \
	done

lint: ## formatter, vet, staticcheck, and stale generated code
	bash scripts/lint.sh

generate: ## generate Go code, docs/CONFIGURATION.md and docs/LOGS.md
	$(TOOL) buf generate
	$(GO) run ./internal/gendoc docs

demo: build ## run stand-ins and three entry instances and print the outcome of each call
	bash scripts/demo.sh

measure: ## compare the scheduling policy with a naive baseline
	$(GO) run ./internal/simtest/cmd/measure -seed $(SEED)

experiment: ## compare gateway policies on load patterns
	$(GO) run ./internal/simtest/cmd/experiment -seed $(SEED)

invariants: ## run the generated fault schedules that check each invariant
	$(GO) run ./internal/simtest/cmd/invariants -seed $(SEED)

fleet: ## run the days without disruptions of the users' sites, if their bench is available
	bash scripts/fleet.sh

scale: ## measure the growth rates that docs/CAPACITY.md states
	$(GO) run ./internal/simtest/cmd/scale -seed $(SEED)
