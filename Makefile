PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core router client standins bench
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)/src)

.PHONY: setup format check lint imports types tests test demo

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),-e packages/$(package))
	touch $@

format: setup
	$(BIN)/ruff format packages tests

check: setup
	$(BIN)/ruff format --check packages tests

lint: setup
	$(BIN)/flake8 packages tests

imports: setup
	$(BIN)/lint-imports

types: setup
	$(BIN)/mypy $(SOURCES)

tests: setup
	$(BIN)/pytest

test: check lint imports types tests

demo: setup
	$(BIN)/python -m yuccadale_bench demo
