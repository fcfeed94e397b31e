# The build needs Go, gcc, make and git. Programs are linked against the C library.
export CGO_ENABLED := 1
PROGRAMS := larchwinch larchwinch-entry larchwinch-control larchwinch-standin larchwinch-load
GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')

.PHONY: build run demo test check fuzz mutate soak measure bench generate

build:
	go build -ldflags '-linkmode=external' -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

run: build
	_scripts/run.sh run

demo: build
	_scripts/run.sh demo

bin/staticcheck: _tools/go.mod
	cd _tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

check: bin/staticcheck
	@out=$$(gofmt -l $(GOFILES)); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	bin/staticcheck ./...

test: check build
	_scripts/test.sh

generate:
	cd _tools && GOBIN=$(CURDIR)/bin go install tool
	cd pkg/rpc && PATH=$(CURDIR)/bin:$$PATH protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative larchwinch.proto

# Uses a random seed; a failure prints the seed that reproduces it.
fuzz:
	go test ./pkg/replica -run Fuzz -rapid.checks=5000 -rapid.steps=80 -rapid.seed=$$(date +%s) -v | grep -v draw

mutate:
	_scripts/mutate.sh
	_scripts/mutate-fleet.sh

# Runs the real programs 50 times under injected faults, each time with another seed;
# a failure prints the seed that reproduces it.
soak:
	_scripts/soak.sh 50 12

measure: build
	_scripts/measure.sh throughput 20
	_scripts/measure.sh recovery 40

bench:
	go test -run '^$$' -bench . -benchmem ./pkg/...
