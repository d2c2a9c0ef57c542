# The commands of the project; each does its own set-up.
PYTHON ?= python3.11
BIN := .venv/bin
ONLY ?=
SECONDS ?= 300
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 1
MANAGERS ?= 6
KIND ?=
WHERE ?= route
OTHER ?=

.PHONY: test lint demo measure fuzz soak clients releases proto reference lock clean

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

test: .venv/ready
	$(BIN)/python -m tools.check

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/flake8
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m tools.lengths
	$(BIN)/python -m tools.names

demo: .venv/ready
	$(BIN)/python -m tools.demo

measure: .venv/ready
	@$(BIN)/python -m tools.measure $(ONLY)

fuzz: .venv/ready
	$(BIN)/python -m tools.fuzz --seconds $(SECONDS)

soak: .venv/ready
	$(BIN)/python -m tools.soak --seed $(SEED) --seeds $(SEEDS) --minutes $(MINUTES) --managers $(MANAGERS)

clients: .venv/ready
	$(BIN)/python -m tools.clients.trial $(KIND) --where $(WHERE) --seconds $(SECONDS) --seed $(SEED)

releases: .venv/ready
	$(BIN)/python -m tools.releases $(OTHER)

# Generated code is committed; run this after a change of the .proto file.
proto: .venv/ready
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=src/rackvalve/rpc --pyi_out=src/rackvalve/rpc --grpc_python_out=src/rackvalve/rpc proto/rackvalve.proto
	sed -i 's/^import rackvalve_pb2 as/from rackvalve.rpc import rackvalve_pb2 as/' src/rackvalve/rpc/rackvalve_pb2_grpc.py

reference: .venv/ready
	$(BIN)/python -m tools.reference

lock: .venv/ready
	$(BIN)/python -m pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf .venv build var
