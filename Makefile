# build, test, lint, run: what .ci/run and README's commands do, under short names.
CONFIG ?= config.json

.PHONY: build test lint run
build:
	cmake -B build && cmake --build build -j4

test: build
	ctest --test-dir build --output-on-failure

lint:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
	cppcheck --quiet --error-exitcode=1 --enable=warning,performance,portability --inline-suppr --std=c++20 \
	  --library=posix -Iinclude -Isrc src

run: build
	LB_CONFIG=$(CONFIG) build/rackroute
