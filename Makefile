PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core edge router client standins bench
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)/src) platform/src
CHECKED := packages platform tests

.PHONY: setup format check lint imports types tests test demo demo-platform soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),-e packages/$(package)) -e platform
	touch $@

format: setup
	$(BIN)/ruff format $(CHECKED)

check: setup
	$(BIN)/ruff format --check $(CHECKED)

lint: setup
	$(BIN)/flake8 $(CHECKED)

imports: setup
	$(BIN)/lint-imports

types: setup
	$(BIN)/mypy $(SOURCES)

# Most tests wait on clocks, so files run beside each other.
tests: setup
	$(BIN)/pytest -n 4 --dist loadfile

test: check lint imports types tests

# The path on the users' new machines, against the stand-ins, with faults.
demo-platform: setup
	$(BIN)/python -m tests.soak.run --seeds 1 --seconds 10

soak: setup
	$(BIN)/python -m tests.soak.run --seeds 50

demo: setup
	$(BIN)/python -m yuccadale_bench demo
