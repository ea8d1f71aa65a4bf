# Short names for the scripts in tools/, which .ci/run uses too.
CONFIG ?= config.json

.PHONY: build test check lint demo run
build:
	tools/install-packages
	cmake -B build && cmake --build build -j $$(nproc)

test check:
	tools/test

lint:
	tools/install-packages
	tools/lint

demo:
	tools/demo

run: build
	LB_CONFIG=$(CONFIG) build/rackroute
