VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := sesamehall standins bench demo soak
SEEDS ?= 50
EXAMPLES ?= 10000
FUZZED := sesamehall/codecs sesamehall/platform/decoders_test.py \
	sesamehall/runtime/foreigndocuments_test.py

.PHONY: demo test lint format bench capacity soak fuzz

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

fuzz: $(STAMP)
	FUZZ_EXAMPLES=$(EXAMPLES) $(PYTHON) -m pytest $(FUZZED)

bench: $(STAMP)
	$(PYTHON) -m bench.ceiling_histories
	$(PYTHON) -m bench.entry_overhead

soak: $(STAMP)
	$(PYTHON) -m soak.main --seeds $(SEEDS)

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity
