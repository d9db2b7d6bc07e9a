.PHONY: build demo test lint run town soak soak-operators bench-town bench-clients bench-journal torture-journal
PYTHON = .venv-test/bin/python
LAB = .venv-lab/bin/python

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q --invalidation-mode checked-hash courseroute

.venv-lab/.installed: requirements.txt requirements-lab.txt
	test -x $(LAB) || python3 -m venv .venv-lab
	.venv-lab/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-lab.txt
	touch $@

demo: .venv-lab/.installed
	$(LAB) -m courseroute town run examples/outage.toml

.venv-test/.installed: requirements.txt requirements-lab.txt requirements-test.txt
	test -x $(PYTHON) || python3 -m venv .venv-test
	.venv-test/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-test.txt
	touch $@

test: .venv-test/.installed
	$(PYTHON) -m pytest -q -n 4

lint: .venv-test/.installed
	.venv-test/bin/ruff check courseroute tests benchmarks
	.venv-test/bin/ruff format --check courseroute tests benchmarks

run: build
	.venv/bin/python -m courseroute

# Long runs, not in CI; their results stand in docs/.

town: .venv-lab/.installed
	$(LAB) -m courseroute town run examples/*.toml

SEEDS = 50
JOBS = 3
DAY = repeats
RELAY = $(LAB) -m courseroute
RELAY_OF_repeats = env PYTHONPATH=courseroute/emulator/shims:. SYSTEM_CALL_FAULTS='{seed} 0.01' $(RELAY)
soak: .venv-lab/.installed
	$(LAB) -m courseroute town soak examples/$(DAY).toml --seeds 1..$(SEEDS) --jobs $(JOBS) \
		--relay "$(or $(RELAY_OF_$(DAY)),$(RELAY))"

torture-journal: .venv-lab/.installed
	$(LAB) -m courseroute.journal.torture --runs 2000

bench-journal: .venv-lab/.installed
	$(LAB) benchmarks/journal.py

bench-clients: .venv-lab/.installed
	PYTHONPATH=. $(LAB) benchmarks/hostile_clients.py memory
	PYTHONPATH=. $(LAB) benchmarks/hostile_clients.py flood

bench-town: .venv-lab/.installed
	$(LAB) -m courseroute town run benchmarks/carry.toml --relay "$(LAB) -m courseroute.emulator.null_relay"

soak-operators: .venv-test/.installed
	$(PYTHON) tests/soak_operations.py --seeds 1..$(SEEDS) --jobs $(JOBS)
