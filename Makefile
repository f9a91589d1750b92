PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= association
TEST_WORKERS ?= 4
SOURCES := src stand_ins bench tools tests

.PHONY: install format lint types unit crowds test demo bench slopes binary matrix proto events soak

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

format: install
	$(BIN)/black -q $(SOURCES)
	$(BIN)/ruff check -q --fix $(SOURCES)

lint: install
	$(BIN)/black -q --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: install
	$(BIN)/mypy src stand_ins
	$(BIN)/mypy tools bench

# Most of the time of the tests is waiting, for processes to start and leases to end.
unit: install
	$(BIN)/pytest -n $(TEST_WORKERS) --dist worksteal --ignore=tests/crowds

# One at a time, apart from other load, as they measure memory and descriptors.
crowds: install
	$(BIN)/pytest -n 0 tests/crowds

test: lint types unit crowds

demo: install
	$(BIN)/python -m tools.demo --deployment $(DEPLOYMENT)

bench: install
	$(BIN)/python -m bench

slopes: install
	$(BIN)/python -m tools.slopes

matrix: install
	$(BIN)/python -m tools.fault_matrix --write docs/fault-matrix.md

events: install
	$(BIN)/python -m tools.events --write docs/events.md

soak: install
	$(BIN)/python -m tools.soak

binary: install
	$(BIN)/python -m tools.binary --output dist/bergamotgap

proto: install
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=src/bergamotgap/adapters/proto \
		--grpc_python_out=src/bergamotgap/adapters/proto proto/peer.proto
	sed -i "s/^import peer_pb2 as/from bergamotgap.adapters.proto import peer_pb2 as/" \
		src/bergamotgap/adapters/proto/peer_pb2_grpc.py
