.PHONY: build test lint demo clean

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...
	cd emul && go build -o ../bin/ ./cmd/...

test:
	scripts/test.sh

lint:
	scripts/lint.sh

demo: build
	scripts/demo.sh

clean:
	rm -rf bin run reports
