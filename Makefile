.PHONY: setup format lint types imports unit processes test demo up prove soak soak-platform experiment bench clean

PYTHON ?= python3
BIN := .venv/bin
LIBS := $(wildcard libs/*) platform
SEED ?= 1
FIRST ?= 1
COUNT ?= 10
SLOT ?= 20
PYTEST_ARGS ?=

setup: .venv/.installed

.venv/.installed: constraints.txt requirements-dev.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q --no-build-isolation -c constraints.txt $(foreach lib,$(LIBS),-e $(lib))
	touch $@

format: setup
	$(BIN)/ruff format libs platform tests
	$(BIN)/ruff check --fix libs platform tests

lint: setup
	$(BIN)/ruff format --check libs platform tests
	$(BIN)/ruff check libs platform tests
	$(BIN)/flake8 libs platform tests

types: setup
	$(BIN)/mypy $(foreach lib,$(LIBS),$(lib)/src)

imports: setup
	$(BIN)/lint-imports --no-cache

unit: setup
	$(BIN)/pytest -m 'not processes'

processes: setup
	$(BIN)/pytest -m processes

test: lint types imports setup
	$(BIN)/pytest $(PYTEST_ARGS)

demo: setup
	$(BIN)/verbenamux-harness demo

up: setup
	$(BIN)/verbenamux-harness up

prove: setup
	$(BIN)/verbenamux-harness prove

soak: setup
	$(BIN)/verbenamux-harness soak --seed $(SEED)

soak-platform: setup
	cd tests && ../$(BIN)/python -m soak.running --first $(FIRST) --count $(COUNT) --slot $(SLOT)

experiment: setup
	$(BIN)/verbenamux-harness experiment

bench: setup
	$(BIN)/verbenamux-harness bench

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
