# `make run` shows the whole system on loopback; `make test` sets up and runs
# every check. Both work on a fresh machine with Python 3.11 and make.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Processes that run tests at the same time.
TEST_WORKERS ?= 3
STAMP := $(VENV)/.installed

.PHONY: setup run test format lint benchmark

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

run: setup
	bash examples/demo.sh

test: setup lint
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

benchmark: setup
	$(BIN)/python -m pytest benchmarks
