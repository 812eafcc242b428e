PYTHON ?= python3
VENV ?= .venv
RUN = PYTHONPATH=src:. $(VENV)/bin/python
SEEDS ?= 1
SETUP ?= $(VENV)/.installed
QUICK ?=
PLANT ?=
FIRST ?=

.PHONY: demo demo-host test matrix measure capacity plants soak site lint format

$(VENV)/.installed: requirements-dev.txt requirements.txt pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

demo: $(SETUP)
	$(RUN) -m tests.platform.demo

demo-host: $(SETUP)
	$(RUN) -m bench.demo

test: $(SETUP)
	POMELOWARD_SEEDS=$(SEEDS) $(RUN) -m pytest

matrix: $(SETUP)
	$(RUN) -m bench.matrix $(if $(QUICK),--quick) $(if $(PLANT),--plant $(PLANT))

measure: $(SETUP)
	$(RUN) -m bench.measure $(if $(QUICK),--quick)

capacity: $(SETUP)
	$(RUN) -m bench.capacity $(if $(QUICK),--quick)

format: $(SETUP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(SETUP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src standins bench tests
	$(VENV)/bin/mypy
	PYTHONPATH=src $(VENV)/bin/lint-imports --no-cache

soak: $(SETUP)
	$(RUN) -m tests.platform.soak --seeds $(SEEDS) $(if $(FIRST),--first $(FIRST)) $(if $(PLANT),--plant $(PLANT))

site: $(SETUP)
	$(RUN) -m tests.platform.site --seed $(or $(FIRST),1) --size $(or $(SIZE),small) --seconds $(or $(SECONDS),30) $(if $(SOURCE),--source $(SOURCE))

plants: $(SETUP)
	$(RUN) -m bench.plants
