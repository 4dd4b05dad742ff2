PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/kernel platform packages/entry packages/operator \
	packages/standins

.PHONY: demo demo-saddle-road test lint format fuzz bench drills experiment soak clean

$(STAMP): requirements.lock $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(PACKAGES:%=--editable %)
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m wasabiknot_standins demo --deployment marktgeld

demo-saddle-road: $(STAMP)
	$(BIN)/python -m wasabiknot_standins demo --deployment saddle-road

test: $(STAMP)
	$(BIN)/python .ci/run_tests.py

fuzz: $(STAMP)
	FUZZ_EXAMPLES=$${FUZZ_EXAMPLES:-2000} $(BIN)/python .ci/run_tests.py \
		packages/kernel/tests test_promises.py

bench: $(STAMP)
	$(BIN)/python benchmarks/kernel.py
	$(BIN)/python benchmarks/overhead.py

drills: $(STAMP)
	$(BIN)/python -m wasabiknot_standins drill

experiment: $(STAMP)
	$(BIN)/python -m wasabiknot_standins experiment burst-slow --placements \
		finish-time random fewest-reported tiered-round-robin

soak: $(STAMP)
	$(BIN)/python -m wasabiknot_standins.soaks $${SEED:-1} $${SECONDS:-20} $${ENTRIES:-3}

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)
