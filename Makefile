# Commands for developers; .ci/run calls `make test` and `make lint`.
PROGRAMS := chute-entry chute-controller chutectl chute-standin chute-load

.PHONY: build test lint try bench prove experiment capacity

build:
	mkdir -p bin
	set -e; for p in $(PROGRAMS); do if [ -d cmd/$$p ]; then go build -o bin/$$p ./cmd/$$p; fi; done

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

experiment:
	scripts/experiment.sh
