# make test   builds everything and runs the tests
# make demo   builds, runs a local deployment with load, and checks the counts
# make faults restarts and kills processes of a local deployment under load
BUILD ?= build
JOBS ?= $(shell nproc)
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: packages build test sanitize lint format format-check layers demo faults mutations clean

packages:
	tools/install-packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_ARGS) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

sanitize:
	$(MAKE) test BUILD=$(BUILD)-sanitize CMAKE_ARGS=-DDRAGONFLY_SANITIZE=ON

lint:
	tools/lint.sh

format:
	tools/format.sh

format-check:
	tools/format.sh --check

layers:
	tools/check-layers.sh

demo: build
	tools/demo.sh $(BUILD)

faults: build
	tools/rolling-restart.sh $(BUILD)
	tools/process-faults.sh $(BUILD)
	tools/all-faults.sh $(BUILD)

mutations:
	tools/mutations.sh

clean:
	cmake --build $(BUILD) --target clean
