VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := sesamehall standins bench demo soak
SEEDS ?= 50

.PHONY: demo test lint format bench capacity soak

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	$(PYTHON) -m pip install -q --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m demo.main

test: $(STAMP)
	$(PYTHON) -m pytest

lint: $(STAMP)
	$(PYTHON) -m isort --check-only -q $(SOURCES)
	$(PYTHON) -m black -q --check $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

format: $(STAMP)
	$(PYTHON) -m isort -q $(SOURCES)
	$(PYTHON) -m black -q $(SOURCES)

bench: $(STAMP)
	$(PYTHON) -m bench.ceiling_histories
	$(PYTHON) -m bench.entry_overhead

soak: $(STAMP)
	$(PYTHON) -m soak.main --seeds $(SEEDS)

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity
