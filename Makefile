# Entry points. `make demo` and `make test` also work on a machine without the build dependencies.
PRESET ?= release
JOBS ?= 8
BUILD := build/$(PRESET)

.PHONY: setup build test demo bench format lint check-format clean

setup:
	bash scripts/setup.sh

build: setup
	cmake --preset $(PRESET)
	cmake --build --preset $(PRESET) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	bash scripts/demo.sh $(BUILD)/bin

bench: build
	bash benchmark/run.sh $(BUILD)

format: setup
	git ls-files '*.cpp' '*.h' | grep -v '^generated/' | xargs clang-format -i

check-format: setup
	git ls-files '*.cpp' '*.h' | grep -v '^generated/' | xargs clang-format --dry-run --Werror

lint: setup
	bash scripts/check_platform_words.sh
	cmake --preset $(PRESET)
	bash scripts/lint.sh $(BUILD)

clean:
	rm -rf build
