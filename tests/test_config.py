"""Configuration files: both formats give the same validated settings, and every mistake is reported with its
location. The event log: levels, and a reader that stops reading."""

import os
import subprocess
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from courseroute import checked
from courseroute.checked import Bad, made, span, span_text
from courseroute.run import config
from courseroute.run.logbook import level_of
from courseroute.run.setup import LaneTerms, Setup

VALID = {
    "listen": "127.0.0.1:8080",
    "directory": "127.0.0.1:8500",
    "state": "/s",
    "lanes": {"notice": {"target": "2s", "effect": "retriable"}},
}


def changed(**parts):
    """A valid configuration with some of its sections replaced."""
    return VALID | parts


@pytest.mark.parametrize(
    "told, places",
    [
        ({}, ["listen", "directory", "state", "lanes"]),
        (changed(listen="8080", state=7), ["listen", "state"]),
        (changed(lanes={}), ["lanes"]),
        (changed(lanes=[]), ["lanes"]),
        (
            changed(lanes={"a": {"efect": "keyed"}, "b": {"effect": "keyed"}, "c": {"target": 5}}),
            ["lanes.a.efect", "lanes.b.window", "lanes.c.target"],
        ),
        (changed(fleet={"relays": 2, "number": 2}), ["fleet.number"]),
        (
            changed(limits={"memory_mb": 0, "disk_mb": -1, "descriptors": "many"}),
            ["limits.memory_mb", "limits.disk_mb", "limits.descriptors"],
        ),
        (
            changed(rules={"cold_from": 1.5, "cold": "10"}, log={"level": "loud"}),
            ["rules.cold_from", "rules.cold", "log.level"],
        ),
        (
            changed(seed="xyz", sending={"slots": -1, "stay_away": "2 s"}),
            ["seed", "sending.slots", "sending.stay_away"],
        ),
        (changed(kinds={"k": {"per_call": 0}}, customers={"c": -2}), ["kinds.k.per_call", "customers.c"]),
    ],
)
def test_every_mistake_is_reported_with_location_value_and_allowed_values(told, places):
    with pytest.raises(Bad) as caught:
        made(told, Setup, "f.toml")
    assert sorted(mistake.place for mistake in caught.value.mistakes) == sorted(places)
    lines = str(caught.value).splitlines()
    assert len(lines) == len(places)
    assert all(line.startswith("f.toml: ") and "allowed: " in line for line in lines)


@pytest.mark.parametrize(
    "name, text, message",
    [
        ("none.toml", None, "No such file"),
        ("a.toml", "a = [", "TOML"),
        ("b.toml", b"\xff\xfe", "TOML"),
        ("c.json", "{", "JSON"),
        ("d.json", "[]", "JSON object"),
        ("e.json", '{"settings": 4}', "limits"),
        ("f.json", '{"limits": {"memory_mb": "x"}, "settings": {}}', "limits"),
        ("g.json", '{"limits": {"memory_mb": 1, "sockets": 64, "disk_mb": 1}}', "listen"),
        (None, None, "ROUTER_CONFIG"),
    ],
)
def test_an_unreadable_file_is_reported(tmp_path, name, text, message):
    environ = {"ROUTER_STATE": "/s"}
    if name:
        environ["ROUTER_CONFIG"] = str(tmp_path / name)
    if text is not None:
        (tmp_path / name).write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(Bad, match=message):
        config.read(environ)


def test_both_formats_give_the_same_settings(tmp_path):
    toml = tmp_path / "c.toml"
    toml.write_bytes(
        msgspec.toml.encode(
            changed(
                seed="ff",
                fleet={"relays": 3, "number": 1, "area": "z"},
                limits={"descriptors": 64, "disk_mb": 3.0},
                sending={"slots": 8, "idle_close": "10s", "stay_away": "2s", "cancel": True},
                rules={"drain_grace": "1s", "cold": "10s", "cold_from": 0.25},
                lanes={"order": {"effect": "keyed", "window": "5s", "target": "1.5s", "value": 2.0}},
            )
        )
    )
    json = tmp_path / "c.json"
    json.write_bytes(
        msgspec.json.encode(
            {
                "listen": "127.0.0.1:8080",
                "discovery": "127.0.0.1:8500",
                "seed": "ff",
                "limits": {"memory_mb": 192, "sockets": 64, "disk_mb": 3},
                "settings": {
                    "balancers": 3,
                    "me": 1,
                    "zone": "z",
                    "family-info": {"call-slots": 8},
                    "permissions": {"idle-close": 10_000_000, "max-retry-after": 2_000_000, "cancel": True},
                    "safety": {"stop-sending-within": 1_000_000, "cold": 10_000_000, "cold-from": 0.25},
                    "grades": [
                        {
                            "name": "order",
                            "effect": "token",
                            "window": 5_000_000,
                            "objective": 1_500_000,
                            "worth": 2.0,
                        }
                    ],
                },
            }
        )
    )
    from_toml = config.read({"ROUTER_CONFIG": str(toml)})
    from_json = config.read({"ROUTER_CONFIG": str(json), "ROUTER_STATE": "/s", "ROUTER_NAME": "relay"})
    for loaded in (from_toml, from_json):  # always present in the platform's settings
        loaded["terms"].pop("listed_rates"), loaded["terms"].pop("rough")
    assert from_toml == from_json
    assert from_toml["terms"]["lanes"]["order"] == {
        "effect": "keyed",
        "window": 5 * 10**9,
        "target": 15 * 10**8,
        "value": 2.0,
    }


@given(st.integers(0, 10**17))
def test_a_duration_is_parsed_as_formatted(ns):
    assert span(span_text(ns)) == ns


@pytest.mark.parametrize("text, ns", [("1.5s", 15 * 10**8), ("0.000001ms", 1), ("2h", 72 * 10**11)])
def test_durations_are_whole_nanoseconds(text, ns):
    assert span(text) == ns


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda part: st.lists(part, max_size=3)
        | st.dictionaries(
            st.sampled_from([*Setup.__struct_fields__, *LaneTerms.__struct_fields__, "x"]), part, max_size=4
        ),
        max_leaves=12,
    )
)
def test_no_input_raises_another_exception(told):
    try:
        assert made(told, Setup).lanes
    except Bad as cause:
        assert cause.mistakes


def test_the_configuration_page_and_the_schema_have_the_same_keys():
    """docs/configuration.md has a row with the default for each key of the schema, and no other rows."""
    page = (project_root() / "docs/configuration.md").read_text()
    rows = [
        [cell.strip().strip("`") for cell in line.split("|")[1:-1]]
        for line in page.splitlines()
        if line.startswith("| `")
    ]
    expected = {
        place: "" if default in (None, "", {}) else str(default).lower()
        for place, _, default in checked.keys(Setup)
    }
    assert {row[0]: row[2].replace("none", "") for row in rows} == expected


def project_root():
    from pathlib import Path

    return Path(checked.__file__).parent.parent


CHILD = """
import sys
from courseroute.run.logbook import BOOK
BOOK.set(relay="n0", form=sys.argv[1])
count = 0
while not BOOK.dropped:
    count += 1
    BOOK.log_event("phase", phase="x" * 500, count=count)
for _ in range(4):
    BOOK.log_event("phase", phase="lost")
print(count, file=sys.stderr, flush=True)
sys.stdin.readline()
BOOK.log_event("discovery failed", error="none")
"""


@pytest.mark.parametrize("form, expected", [("json", b'"dropped_before":5'), ("console", b"dropped_before")])
def test_a_reader_that_stops_blocks_nothing_and_later_gets_the_number_of_dropped_lines(form, expected):
    with subprocess.Popen(
        [sys.executable, "-c", CHILD, form],
        cwd=project_root(),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as child:
        count = int(child.stderr.readline())  # the child output here although its output was not read
        os.set_blocking(child.stdout.fileno(), False)
        output = child.stdout.read()
        child.stdin.write(b"\n")
        child.stdin.close()
        os.set_blocking(child.stdout.fileno(), True)
        output += child.stdout.read()
    lines = output.splitlines()
    assert len(lines) == count and expected in lines[-1] and b"warning" in lines[-1] and b"n0" in lines[0]


@pytest.mark.parametrize(
    "event, level",
    [
        ("fault", "error"),
        ("full", "warning"),
        ("room again", "info"),
        ("notices not taken", "warning"),
        ("notices are taken again", "info"),
        ("host 3: returned, failures over 2899 ms", "info"),
        ("host 3: set aside on full, evidence 4.5", "info"),
        ("configuration not read, the old one stays", "warning"),
    ],
)
def test_level_of_each_event(event, level):
    assert level_of(event) == level
