# demo runs the main job on embedded stand-ins; test passes the tests of both
# modules.
.PHONY: demo test build lint generate spec soak capacity

demo:
	go run ./lab/cmd/marblelab demo

test:
	go test ./... ./lab/...

build:
	go build -o bin/marblepond ./cmd/marblepond
	go build -o bin/marblelab ./lab/cmd/marblelab

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./... ./lab/...
	go run honnef.co/go/tools/cmd/staticcheck@v0.8.2 ./... ./lab/...

generate:
	scripts/generate.sh
