VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench capacity

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
	$(PYTHON) -m isort --check-only -q sesamehall standins bench demo
	$(PYTHON) -m black -q --check sesamehall standins bench demo
	$(PYTHON) -m flake8 sesamehall standins bench demo

format: $(STAMP)
	$(PYTHON) -m isort -q sesamehall standins bench demo
	$(PYTHON) -m black -q sesamehall standins bench demo

bench: $(STAMP)
	$(PYTHON) -m bench.ceiling_histories
	$(PYTHON) -m bench.entry_overhead

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity
