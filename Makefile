# Short way in. Each target works alone on a fresh Debian 12, as root or with sudo.
# JOBS bounds parallel compilation.
JOBS ?= $(shell nproc)
BUILD := build

.PHONY: all demo test lint test-asan test-tsan prove chaos soak bench release generate-check clean \
	setup-build setup-lint setup-bench

all: $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

setup-build:
	@tools/setup.sh build

setup-lint:
	@tools/setup.sh build lint

setup-bench:
	@tools/setup.sh build bench

$(BUILD)/build.ninja: | setup-build
	meson setup $(BUILD)

# Reduced Atlas deployment on loopback: writes, reads, a killed primary; under 60 s after the build.
demo: all
	tools/demo.sh $(BUILD)

test: all
	tools/run-tests.sh $(BUILD)

lint: setup-lint all
	LINT_JOBS=$(JOBS) tools/lint.sh $(BUILD)

test-asan: | setup-build
	[ -f build-asan/build.ninja ] || meson setup build-asan -Db_sanitize=address,undefined -Db_lundef=false
	ninja -C build-asan -j $(JOBS)
	UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 tools/run-tests.sh build-asan --timeout-multiplier 4

test-tsan: | setup-build
	[ -f build-tsan/build.ninja ] || meson setup build-tsan -Db_sanitize=thread -Db_lundef=false
	ninja -C build-tsan -j $(JOBS)
	G_SLICE=always-malloc TSAN_OPTIONS="halt_on_error=1 suppressions=$(CURDIR)/tools/tsan-suppressions.txt" \
		tools/run-tests.sh build-tsan --timeout-multiplier 8

# Every guarantee with its mechanism off (must fail) and on (must pass), in the simulator.
prove: all
	$(BUILD)/src/sim/swiftsim prove

# A fixed order of faults on real processes, at most 5 minutes.
chaos: all
	tools/chaos.sh $(BUILD)

# Poolers as processes, each connection through a proxy, faults from SEED for SECONDS; see tests/soak/soak.py.
SECONDS ?= 120
SEED ?= $(shell shuf -i 1-999999 -n 1)
soak: all
	tests/soak/soak.py --build $(BUILD) --seed $(SEED) --seconds $(SECONDS) $(SOAK_OPTIONS)

# Real processes; results as JSON and SVG plots under bench/results/.
bench: setup-bench all
	bench/run.sh $(BUILD)

# Everything at -O3, warnings as errors, as the pooler is built for its machines.
release: | setup-build
	[ -f build-release/build.ninja ] || meson setup build-release --buildtype=release
	ninja -C build-release -j $(JOBS)

generate-check: | setup-build
	tools/generate.py --check

clean:
	rm -rf $(BUILD) build-asan build-tsan build-release
