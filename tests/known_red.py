"""Reads KNOWN-RED.txt: one entry per line, fields separated by `|`; lines that begin with # are comments."""

from typing import NamedTuple


class KnownRed(NamedTuple):
    """A test that fails because of a fault that is still open."""

    test: str  # pytest node id: file::function[parameters]
    command: str  # reproduces the failure, with its seed
    seen: str
    issue: str


def read_known_red(path):
    """The entries of the file at `path`. Raises ValueError if one is malformed."""
    lines = [line.strip() for line in path.read_text().splitlines()]
    return [parse_entry(line) for line in lines if line and not line.startswith("#")]


def parse_entry(line):
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(KnownRed._fields) or not all(fields):
        raise ValueError(f"KNOWN-RED.txt: expected {' | '.join(KnownRed._fields)}, got: {line}")
    return KnownRed(*fields)
