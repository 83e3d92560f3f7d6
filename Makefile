.PHONY: build test lint run

# bin/limelab is the earlier name of bin/limeladder-sim: calls of that name go on working.
build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
	ln -sf limeladder-sim bin/limelab

test:
	go test -count=1 -p 1 ./...

lint:
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "not formatted: $$bad"; exit 1; fi
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

# EDGE_CONFIG names the router's configuration, as on the platform.
run: build
	exec bin/limeladder
