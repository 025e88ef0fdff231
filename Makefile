PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup format lint test unit demo bench fuzz capacity plots regression soak

$(READY): packages/core/pyproject.toml packages/entry/pyproject.toml packages/cli/pyproject.toml requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable packages/core --editable packages/entry --editable packages/cli --requirement requirements-dev.txt
	touch $(READY)

setup: $(READY)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

unit: setup
	$(BIN)/python -m unittest discover --start-directory tests --top-level-directory . --buffer

test: lint
	$(BIN)/python -m tests

demo: setup
	$(BIN)/python -m standins.demo

bench: setup
	$(BIN)/python -m bench

fuzz: setup
	$(BIN)/python -m tests.core.fuzz

capacity: setup
	$(BIN)/python -m bench.capacity

plots: bench
	$(BIN)/python -m bench.plots

# PLAY=1 plays the set first, with FLEETBENCH and DEPLOYMENTS set.
regression: setup
	$(BIN)/python -m bench.regression $(if $(PLAY),--play)

soak: setup
	$(BIN)/python -m soak $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES))
