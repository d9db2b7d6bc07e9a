"""The list of known failures names existing tests, and malformed entries are rejected."""

import re
from pathlib import Path

import pytest
from helpers import address_of_worker
from known_red import KnownRed, parse_entry, read_known_red

ROOT = Path(__file__).parent.parent


def test_every_known_failure_names_a_test_that_exists():
    for entry in read_known_red(ROOT / "KNOWN-RED.txt"):
        file, _, function = entry.test.partition("::")
        name = function.partition("[")[0]
        assert re.search(rf"^def {name}\(", (ROOT / file).read_text(), re.MULTILINE), entry


@pytest.mark.parametrize("line", ["tests/a.py::b", "a | b | c", "a | b |  | 27", "a | b | c | d | e"])
def test_a_malformed_entry_is_rejected(line):
    with pytest.raises(ValueError):
        parse_entry(line)


def test_an_entry_has_four_fields():
    entry = parse_entry("t.py::t | pytest t.py::t (no seed) | sent twice | 27")
    assert entry == KnownRed("t.py::t", "pytest t.py::t (no seed)", "sent twice", "27")


# Guards against a message reaching the relay of another test process that reused the port of a stopped relay.
def test_relays_of_two_test_processes_never_share_an_address(monkeypatch):
    addresses = set()
    for worker in ("gw0", "gw1", "gw11"):
        monkeypatch.setenv("PYTEST_XDIST_WORKER", worker)
        addresses.add(address_of_worker())
    assert len(addresses) == 3
