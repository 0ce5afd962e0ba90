# Run `make help` for a list of the targets.

BIN := $(CURDIR)/.bin
MODULES := shared decisions platform standin wagtailcroftd wagtailcroft demo bench soak
SCHEMAS := types caller operator peer rows platform runner settings ledger member
OAPI_VERSION := v2.8.2
LINT_VERSION := v2.15.0
# Names of the tests listed in KNOWN-RED.txt as a pattern for go test -skip; empty if there
# are none.
RED := $(shell grep -v '^\#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
SKIP := $(if $(RED),-skip '^($(RED))$$')

.PHONY: help build demo test lint generate check-generated bench days journal-page fuzz crowd soak process-soak faults slopes lines

help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the programs into .bin
	@for m in wagtailcroftd wagtailcroft standin demo bench soak; do go build -o $(BIN)/$$m ./$$m || exit 1; done

demo: build ## run the workloads of both deployments on loopback in one process
	$(BIN)/demo run

test: ## run all tests with the race detector and the lock-order check
	@echo "known failing tests, skipped: $(if $(RED),$(RED),none)"
	@for m in $(filter-out soak,$(MODULES)); do (cd $$m && go test -race -timeout 20m -tags rankcheck $(SKIP) ./...) || exit 1; done
	@cd soak && go test -p 1 -race -timeout 20m -tags rankcheck $(SKIP) ./...

bench: build ## measure the scheduling policies and write docs/MEASUREMENTS.md
	$(BIN)/bench run --commit $$(git rev-parse --short HEAD)

days: build ## simulate days of step jobs with every policy and write docs/MEASUREMENTS.md
	$(BIN)/bench days --commit $$(git rev-parse --short HEAD)

journal-page: build ## write docs/JOURNAL.md from the journal of the users' benchmark
	$(BIN)/bench journal

faults: build ## run eight entry instances as processes under load and faults, two minutes
	BIN=$(BIN) scripts/faults.sh

slopes: build ## measure the control cost of one entry instance at several sizes, under five minutes
	BIN=$(BIN) scripts/slopes.sh

lines: ## count the lines of product code, tests and code for routing and recovery
	@scripts/lines.sh

fuzz: ## run the randomized tests longer, with a new seed that is printed
	@seed=$$(date +%s); echo "WAGTAILCROFT_SEED=$$seed"; \
	for m in $(MODULES); do (cd $$m && WAGTAILCROFT_SEED=$$seed WAGTAILCROFT_CHECKS=5000 go test -tags rankcheck -run 'Always|Invariants|Faults' ./...) || exit 1; done

crowd: ## run the crowds of uncontrolled clients by hand: 1500 connections to a process on the smallest machine
	cd soak && WAGTAILCROFT_CROWD=1500 WAGTAILCROFT_CROWD_MEMORY_MB=144 WAGTAILCROFT_CROWD_DESCRIPTORS=3075 go test -count=1 -v ./crowder

soak: ## run 2000 random fault scenarios on several instances, with a new seed that is printed, about two minutes
	@seed=$${WAGTAILCROFT_SEED:-$$(date +%s)}; echo "WAGTAILCROFT_SEED=$$seed"; \
	cd wagtailcroftd && WAGTAILCROFT_SEED=$$seed WAGTAILCROFT_CHECKS=2000 go test -count=1 -timeout 20m -run TestRandomFaults ./participant

process-soak: build ## play random faults on real processes, 24 plays with new seeds that are printed, about four minutes
	$(BIN)/soak --program $(BIN)/wagtailcroftd --dir $$(mktemp -d) --seed $${WAGTAILCROFT_SEED:-$$(date +%s)} --count 24 --parallel 5

lint: $(BIN)/golangci-lint ## check the code with gofmt and golangci-lint
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }
	@for m in $(MODULES); do (cd $$m && $(BIN)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

generate: $(BIN)/oapi-codegen ## generate Go code and operators' pages from the schemas
	@for s in $(SCHEMAS); do mkdir -p shared/gen/$$s && (cd schema && $(BIN)/oapi-codegen --config $$s.gen.yaml $$s.yaml) || exit 1; done
	@cd platform/schema && $(BIN)/oapi-codegen --config wire.gen.yaml wire.yaml
	go run ./demo docs

check-generated: generate ## fail if the committed generated files are out of date
	git diff --exit-code -- shared/gen platform/wire docs/operators

$(BIN)/golangci-lint:
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(BIN)/oapi-codegen:
	GOBIN=$(BIN) go install github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@$(OAPI_VERSION)
