.PHONY: build test lint run
PYTHON = .venv-test/bin/python

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt

.venv-test/.installed: requirements.txt requirements-lab.txt requirements-test.txt
	test -x $(PYTHON) || python3 -m venv .venv-test
	.venv-test/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-test.txt
	touch $@

test: .venv-test/.installed
	$(PYTHON) -m pytest -q -n 4

lint: .venv-test/.installed
	.venv-test/bin/ruff check courseroute tests

run: build
	.venv/bin/python -m courseroute
