# Developer commands; .ci/run calls `make build`, `make lint` and `make test`.

.PHONY: build test lint try faults bench prove experiment soak soak-planted

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test.sh

lint:
	@bad=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$bad" ]; then echo "not gofmt clean:"; echo "$$bad"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

DEPLOYMENT ?= kalku-rinda
TRY_SECONDS ?= 30
try:
	scripts/try.sh $(DEPLOYMENT) $(TRY_SECONDS)

FAULTS_SECONDS ?= 80
faults:
	scripts/faults.sh $(DEPLOYMENT) $(FAULTS_SECONDS)

experiment:
	scripts/experiment.sh

PROVE_INTERLEAVINGS ?= 20000
PROVE_SEED ?= 1
prove:
	go run ./cmd/chute-prove -interleavings $(PROVE_INTERLEAVINGS) -seed $(PROVE_SEED)

# Benchmarks: the packages first, then the entry's added latency with real processes.
bench:
	go test -run '^$$' -bench . -benchmem ./...
	internal/entry/entrybench/run.sh

# Runs real processes against stand-ins under injected faults, with new seeds.
# SOAK_SEED=0 derives the first seed from the time of day.
SOAK_SEEDS ?= 8
SOAK_SEED ?= 0
soak: build
	bin/chute-soak -seeds $(SOAK_SEEDS) -seed $(SOAK_SEED) -jobs 3

# Checks that the soak detects each of the planted faults.
soak-planted:
	scripts/soak-planted.sh
