# VENV may name a shared environment; PYTHONPATH makes this checkout's sources
# win over whatever that environment has installed.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)/src
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: env format check test fuzz soak demo measure slopes reference generate dist clean

# A shared environment belongs to whoever made it and is used as it is.
ifeq ($(VENV),.venv)
env: .venv/.stamp
else
env:
endif

.venv/.stamp: requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -r requirements.lock
	touch $@

format: env
	$(VENV)/bin/ruff format src tests tools
	$(VENV)/bin/ruff check --fix src tests tools

check: env
	$(VENV)/bin/ruff format --check src tests tools
	$(VENV)/bin/ruff check src tests tools
	$(VENV)/bin/mypy

test: check
	$(PY) -m pytest

# A longer random search; CI runs the short derandomised profile.
fuzz: env
	HYPOTHESIS_PROFILE=long $(PY) -m pytest tests/fuzz --timeout 3000

# A soak of the real programs; SEED, SEEDS and SECONDS choose what is run.
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20
soak: env
	$(PY) -m tests.soak.soak --seed $(SEED) --count $(SEEDS) --seconds $(SECONDS)

demo: env
	$(PY) tools/demo.py

measure: env
	$(PY) tools/measure.py

slopes: env
	$(PY) tools/slopes.py

# docs/settings.md is made from the checked types; a test compares them.
reference: env
	$(PY) tools/settings_reference.py

# Needs Debian's thrift-compiler; the output is committed.
generate:
	rm -rf src/gypsumhold/adapters/generated
	mkdir -p src/gypsumhold/adapters/generated
	thrift --gen py:enum,slots,package_prefix=gypsumhold.adapters.generated. -out src/gypsumhold/adapters/generated idl/gypsumhold.thrift
	rm src/gypsumhold/adapters/generated/wire/*-remote

dist: env
	$(PY) tools/dist.py

clean:
	rm -rf $(VENV) dist build
