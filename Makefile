PYTHON ?= python3
VENV := .venv
# Test processes side by side; each starts deployments of some twenty processes. Tests of
# crowds of callers run before all others, one at a time, apart from other load.
TEST_WORKERS ?= 5
RUN := $(VENV)/bin/python

.PHONY: demo test lint format bench

demo: $(VENV)/ready
	$(RUN) -m demo

test: $(VENV)/ready
	$(RUN) -m tests.known_red
	$(RUN) -m pytest tests/crowds
	$(RUN) -m pytest -n $(TEST_WORKERS) --dist worksteal --ignore tests/crowds

lint: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(VENV)/ready
	$(RUN) -m benchmarks

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[test,plots]'
	touch $@
