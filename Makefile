SHELL := /bin/bash
MODULES := bench cmd fakes fleet flow node plat platform proof
TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.22.0
LINT := $(shell command -v golangci-lint || echo $(TOOLS)/golangci-lint)
BIN := bin
SEED ?= 1

.PHONY: all build demo test check lint unit tools bench soak upgrade report proofs

all: build

build:
	@mkdir -p $(BIN)
	@go build -o $(BIN)/burdockreach ./cmd/burdockreach
	@go build -o $(BIN)/standin ./fakes/standin
	@go build -o $(BIN)/demo ./fakes/demo

# demo starts a stand-in for the platform, stand-ins for the targets of two services and four entries,
# sends orders, runs a maintenance wave and keeps running until interrupted. ONCE=1 makes it exit by itself.
demo: build
	@$(BIN)/demo -bin $(BIN) $(if $(ONCE),-once)

# test runs the formatter, the linter, go vet, the build and every test.
test: tools lint check build unit

# tools installs golangci-lint, and gopls for renaming identifiers.
tools:
	@command -v golangci-lint >/dev/null || test -x $(TOOLS)/golangci-lint || \
	  GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@test -x $(TOOLS)/gopls || GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint:
	@out=$$(gofmt -l $(MODULES)); test -z "$$out" || { echo "not formatted: $$out"; exit 1; }
	@$(LINT) run $(addsuffix /...,$(addprefix ./,$(MODULES)))

check:
	@go vet work

unit:
	@bash .ci/unit

bench: build
	@go build -o $(BIN)/bench ./bench && $(BIN)/bench -seed $(SEED) -bin $(BIN)

# soak runs the random tests for longer: CHECKS checks of each property test, SEEDS seeds of the simulations in fleet/batch
# and of TestSoak, and STEPS failures in TestFailuresTogether. SEED sets the seed, except in fleet/batch.
CHECKS ?= 5000
STEPS ?= 100
SEEDS ?= 50
soak:
	@go test -count=1 -timeout 60m $$(grep -rl --include=*_test.go pgregory.net/rapid $(MODULES) | xargs -n1 dirname | sort -u | sed 's|^|./|') \
	  -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)
	@go test -count=1 -timeout 60m ./fleet/batch -run 'TestChaos|TestWave' -batch.seeds=$(SEEDS)
	@go test -count=1 -timeout 120m ./proof -run TestSoak -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.for=20s
	@go test -count=1 -timeout 60m ./proof -run TestFailuresTogether -chaos.seed=$(SEED) -chaos.steps=$(STEPS)

# upgrade runs TestSoak for SEEDS seeds with entries of the commit OLD beside those of this tree.
OLD ?= HEAD~1
upgrade:
	@d=$$(mktemp -d) && trap "rm -rf $$d" EXIT && mkdir $$d/src && git archive $(OLD) | tar x -C $$d/src && \
	  (cd $$d/src && go build -buildvcs=false -o $$d/burdockreach ./cmd/burdockreach) && \
	  go test -count=1 -timeout 120m ./proof -run TestSoak -soak.old=$$d/burdockreach -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.for=14s
