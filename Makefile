VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := src
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: install lint format unit scenarios test demo demo-up demo-down bench bench-quick slopes lock

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	touch $@

lock: $(VENV)/.installed
	$(BIN)/pip-compile --quiet --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --strip-extras --output-file requirements.lock requirements-dev.in

lint: install
	$(BIN)/ruff format --check src tests features
	$(BIN)/ruff check src tests features
	$(BIN)/flake8 src

format: install
	$(BIN)/ruff format src tests features
	$(BIN)/ruff check --fix src tests features

test: install lint
	$(BIN)/python tests/run_all.py

demo: install
	$(BIN)/python -m cassiaseam_standin.demo run

demo-up: install
	$(BIN)/python -m cassiaseam_standin.demo up

demo-down: install
	$(BIN)/python -m cassiaseam_standin.demo down

bench: install
	$(BIN)/python -m cassiaseam_load.bench

bench-quick: install
	$(BIN)/python -m cassiaseam_load.bench --quick

slopes: install
	$(BIN)/python -m cassiaseam_load.slopes
