# Every target sets itself up; `make help` lists them.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed
PACKAGES := packages/berylbank packages/berylbankd packages/berylctl packages/berylbank-standins
SOURCES := packages tests tools
BENCH ?= path
export PIP_DISABLE_PIP_VERSION_CHECK := 1

.PHONY: help demo test lint format bench soak

help: ## list the targets
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(STAMP): requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	@test -x $(BIN)/python || $(PYTHON) -m venv .venv
	@$(BIN)/python -m pip install -q -r requirements.lock
	@$(BIN)/python -m pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	@touch $@

demo: $(STAMP) ## both ways on this machine: the own interface, and the platform's protocol
	@$(BIN)/python tools/demo.py
	@$(BIN)/python tools/steering_demo.py

test: $(STAMP) lint ## formatter, linters, type checker and every behave scenario
	@$(BIN)/python tools/run_tests.py

lint: $(STAMP) ## formatter, linters and type checker alone
	@$(BIN)/black -q --check $(SOURCES)
	@$(BIN)/ruff check -q $(SOURCES)
	@$(BIN)/mypy -p berylbank -p berylbankd -p berylctl -p berylbank_standins
	@$(BIN)/lint-imports --no-cache | tail -n 1

format: $(STAMP) ## rewrite the sources in the house format
	@$(BIN)/ruff check -q --fix $(SOURCES) || true
	@$(BIN)/black -q $(SOURCES)

bench: $(STAMP) ## BENCH=name: a table and one last JSON line
	@$(BIN)/python tools/bench.py $(BENCH)

soak: $(STAMP) ## SEEDS=n fresh seeds of random faults, or SEED=x for one again; PLANNED=1: only planned ones
	@cd tools && ../$(BIN)/python -m soak $(if $(SEED),--seed $(SEED),--seeds $(or $(SEEDS),5)) $(if $(PLANNED),--planned)
