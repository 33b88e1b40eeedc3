# make demo: a whole deployment on this machine.  make test: all tests.
# Both work on a fresh Debian 12; packages are installed when they are missing.
BUILD ?= build
OWN_SOURCES = $(shell git ls-files '*.cc' '*.h' | grep -v '\.pb\.')

.PHONY: packages build deploy-build demo test format format-check lint protos

packages:
	./packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

# The programs as deploy/system.toml has them built.
deploy-build: packages
	cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DCYCLAMENWOOD_TESTS=OFF
	cmake --build target -j6

demo: build
	$(BUILD)/tools/demo

test: build
	./run_tests.sh $(BUILD)

format:
	clang-format -i $(OWN_SOURCES)

format-check: packages
	clang-format --dry-run --Werror $(OWN_SOURCES)

lint: build
	git ls-files '*.cc' | grep -v '\.pb\.' | \
	  xargs -P 8 -n 1 clang-tidy --quiet -p $(BUILD)

# Needs protobuf-compiler and protobuf-compiler-grpc; the result is committed.
protos:
	protoc -I . --cpp_out=. --grpc_out=. \
	  --plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) \
	  cyclamenwood/wire.proto
