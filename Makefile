# Two commands do everything on a machine with Python 3.11 and make:
# `make demo` runs the main job on the embedded stand-ins, `make test`
# runs the formatter check, the linter and every test.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format generate clean

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/ready
	$(BIN)/python scripts/demo.py

test: $(VENV)/ready
	$(BIN)/python scripts/run_tests.py

format: $(VENV)/ready
	$(BIN)/ruff format .

# Needs the thrift compiler; its output is committed, so that neither
# the build nor the tests do.
generate:
	thrift -r --gen py:slots,enum,package_prefix=sedgering.peer.gen. \
	    -out sedgering/peer/gen sedgering/peer/wire.thrift
	rm -f sedgering/peer/gen/wire/Peer-remote

clean:
	rm -rf $(VENV) build *.egg-info
