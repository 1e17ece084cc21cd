# The map of tasks. Every task works in a fresh clone with Go installed.
MODULES := lib cmd/hickorywick-router cmd/hickorywickctl cmd/hickorywick-standin platform
GOBIN := $(CURDIR)/.bin
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))

.PHONY: bench demo test race known-red scenarios smoke soak build lint format tools measure slopes fuzz generate check-generated

demo: ## Stand-ins and four routers in one process, a mixed load, a table of who got what.
	go run ./cmd/hickorywick-standin demo

test: ## All tests, the scenarios among them, but those that KNOWN-RED.txt says to skip.
	skipped=$$(bash scripts/known-red.sh) && go test -skip "$$skipped" $(PACKAGES)

race: ## The same tests under the race detector.
	bash scripts/race.sh $(PACKAGES)

known-red: ## Only the tests that KNOWN-RED.txt says to skip.
	skipped=$$(bash scripts/known-red.sh) && go test -run "$${skipped:-^$$}" -v $(PACKAGES)

bench: ## Every benchmark once, so that none fails unnoticed; figures need more time (-benchtime 2s).
	go test -run '^$$' -bench . -benchtime 1x $(PACKAGES)

scenarios: ## Only the scripted scenarios.
	go test ./cmd/hickorywick-standin/scenarios/ -v

build: ## The three programs into .bin.
	go build -o $(GOBIN)/ ./cmd/hickorywick-router ./cmd/hickorywickctl ./cmd/hickorywick-standin

smoke: build ## The README's trial by hand, with separate processes.
	bash scripts/smoke.sh $(GOBIN)
	bash scripts/readme.sh

soak: ## Fifty fresh seeds of the fault soak, and twenty of a store that comes back from copies alone; the processes' logs of seeds that fail go to .soak.
	mkdir -p .soak
	go test ./platform/hwsoak -run TestSoak -v -timeout 60m -first-seed $$(date +%s) -seeds 50 -logs $(CURDIR)/.soak
	go test ./platform/hwsoak -run TestSoak -v -timeout 60m -first-seed $$(date +%s) -seeds 20 -only-copies -logs $(CURDIR)/.soak

measure: ## Every measurement of docs/measurements.md.
	go run ./cmd/hickorywick-standin measure --case all

slopes: ## The slopes from which docs/CAPACITY.md is worked out.
	bash scripts/slopes.sh

fuzz: ## Each fuzz target for ten seconds.
	bash scripts/fuzz.sh 10s

tools: ## Formatter, linter and language server into .bin.
	GOBIN=$(GOBIN) go install mvdan.cc/gofumpt@v0.12.0
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
	GOBIN=$(GOBIN) go install golang.org/x/tools/gopls@v0.23.0

format: tools ## Formats all code.
	$(GOBIN)/gofumpt -w $(MODULES)

lint: tools ## Formatter and linter; fails on any finding.
	test -z "$$($(GOBIN)/gofumpt -l $(MODULES))"
	test -z "$$(gofmt -l $(MODULES))"
	for module in $(MODULES); do (cd $$module && $(GOBIN)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

generate: ## Generated code, committed; needs protoc, protoc-gen-go v1.36.12 and protoc-gen-go-drpc v1.1.0.
	cd lib && protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative hwpeerpb/peer.proto
	cd lib && protoc --go_out=. --go_opt=paths=source_relative hwpeerpb/page.proto hwpeerpb/fleet.proto
