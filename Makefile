# The build needs Go, gcc, make and git. Programs are linked to the C library.
export CGO_ENABLED := 1
PROGRAMS := larchwinch larchwinch-entry larchwinch-control larchwinch-standin larchwinch-load
GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')

.PHONY: build run demo test check fuzz measure bench generate

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
	go test -race -count=1 ./...

generate:
	cd _tools && GOBIN=$(CURDIR)/bin go install tool
	cd pkg/rpc && PATH=$(CURDIR)/bin:$$PATH protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative larchwinch.proto
