"""Absurd figures and texts from discovery, the settings and the folder: none ends or stops a relay."""

import signal

import orjson
import pytest
from helpers import MS, DispatcherHarness, RelayUnderTest, S, run_counted, wait_until

from courseroute.checked import Bad, made
from courseroute.decisions.reported_limit import MAX_LIMIT
from courseroute.model.terms import parse_settings
from courseroute.run import config
from courseroute.run.setup import Setup
from courseroute.wire.discovery import Watch

ENTRY = {"name": "h", "address": "127.0.0.1:80", "zone": "z", "type": "k", "group": 3, "status": "active"}


# Guards against a list that is applied in part: all hosts were unlisted and none was listed again.
@pytest.mark.parametrize(
    "change",
    [
        {"type": {}},
        {"type": 5},
        {"zone": ["z"]},
        {"name": 7},
        {"name": None},
        {"name": ""},
        {"name": "h" * 300},
        {"zone": "z" * 300},
        {"type": "k" * 300},
        {"address": "127.0.0.1:" + "9" * 300},
        {"status": ["active"]},
        {"address": "127.0.0.1:99999999"},
        {"address": "127.0.0.1:-1"},
        {"address": ["127.0.0.1", 80]},
        {"weight": [1]},
        {"weight": "much"},
    ],
    ids=lambda value: str(value)[:60],
)
def test_a_list_with_a_field_of_another_type_is_refused_whole(change):
    told = {"index": 5, "snapshot": True, "endpoints": [ENTRY, ENTRY | {"name": "i"} | change]}
    with pytest.raises(ValueError):
        Watch(True, 4).parse_answer(200, orjson.dumps(told))


@pytest.mark.parametrize("missing", ["zone", "type", "group", "weight", "status", "address"])
def test_a_list_without_a_field_that_can_be_missing_is_read(missing):
    entry = {name: value for name, value in ENTRY.items() if name != missing}
    told = {"index": 5, "snapshot": True, "endpoints": [entry]}
    _, entries, _ = Watch(True, 4).parse_answer(200, orjson.dumps(told))
    assert [name for name, *_ in entries] == ["h"]


# Guards against a start or a SIGHUP that never ends: the settings' own count of a list was counted up to.
@pytest.mark.parametrize("path", ["parties.count", "grades.count"])
def test_a_count_in_the_settings_is_no_more_than_the_settings(path):
    told = {path: "30000000", "grades.0.name": "a", "parties.0.quota-per-s": "2"}
    terms = run_counted(lambda: parse_settings(told))
    assert len(terms["lanes"]) <= 2 and len(terms["customers"]) <= 1


def platform_file(folder, **changes):
    """A configuration file of the platform with some of its parts replaced; returns the environment."""
    told = {
        "name": "n",
        "listen": "127.0.0.4:8081",
        "discovery": "127.0.0.1:8500",
        "seed": "ff",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": {},
    }
    (folder / "config.json").write_bytes(orjson.dumps(told | changes))
    return {"ROUTER_CONFIG": str(folder / "config.json"), "ROUTER_STATE": str(folder)}


# Guards against a start that ends in a trace and a SIGHUP that ends the relay.
@pytest.mark.parametrize(
    "changes",
    [
        {"limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 1e308}},
        {"limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": "1e400"}},
        {"limits": {"memory_mb": 1e30, "sockets": 1024, "disk_mb": 3}},
        {"limits": {"memory_mb": 192, "sockets": 1e30, "disk_mb": 3}},
        {"discovery": "127.0.0.1:99999"},
        {"listen": "127.0.0.1:70000"},
        {"settings": {"over-share-worth": "nan"}},
        {"settings": {"tick": "1e5"}},
    ],
    ids=lambda value: str(value)[:60],
)
def test_figures_that_no_installation_has_are_mistakes_of_the_file(tmp_path, changes):
    with pytest.raises(Bad):
        config.read(platform_file(tmp_path, **changes))


@pytest.mark.parametrize("disk_mb", [float("inf"), float("nan"), 1e300])
def test_the_same_in_a_file_of_ones_own(disk_mb):
    told = {"listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "state": "/s", "lanes": {"a": {}}}
    with pytest.raises(Bad):
        made(told | {"limits": {"disk_mb": disk_mb}}, Setup)


# Guards against a relay that ends on a SIGHUP: an absurd figure, an address that no socket takes.
@pytest.mark.parametrize(
    "change",
    [{"limits": {"disk_mb": 1e308}}, {"discovery": "127.0.0.1:99999"}, {"discovery": "a..b:80"}],
    ids=lambda value: str(value)[:60],
)
def test_a_relay_outlives_a_sighup_with_absurd_figures(tmp_path, change):
    town = RelayUnderTest(tmp_path)
    town.plan = lambda call: (500, {})
    try:
        town.start()
        path = tmp_path / "config.json"
        told = orjson.loads(path.read_bytes())
        for name, value in change.items():
            told[name] = told[name] | value if isinstance(value, dict) else value
        path.write_bytes(orjson.dumps(told))
        town.relay.send_signal(signal.SIGHUP)
        seen = ("configuration not read", "configuration read")
        assert wait_until(lambda: any(event["event"].startswith(seen) for event in town.events()))
        assert town.submit("a", "once") == 202  # ends with a notice, which has to find the platform
        assert wait_until(lambda: town.calls_for("a"))
        town.configure()
        town.relay.send_signal(signal.SIGHUP)
        assert wait_until(lambda: town.notices == [{"id": "a", "state": "failed"}])
        assert town.relay.poll() is None
    finally:
        town.close()


def learned_record(host=None, route=None):
    """A record of learned state, at 1000 s, with some values replaced."""
    host_values = [0.0, None, 5 * S, 999 * S, 999 * S, True, 999 * S]
    route_values = [0.5, 3.0, 25.0, 999 * S, 999 * S, 999 * S, False, 0, 2.0, True]
    for values, changes in ((host_values, host or {}), (route_values, route or {})):
        for at, value in changes.items():
            values[at] = value
    return ["a", host_values, route_values]


# Guards against a stored figure that brings a fault back after each restart, until the file is removed.
@pytest.mark.parametrize(
    "record",
    [
        learned_record(route={0: -1.0}),
        learned_record(route={0: 1e300}),
        learned_record(route={1: "3"}),
        learned_record(route={1: -3.0}),
        learned_record(route={3: 5000 * S}),
        learned_record(route={4: 5000 * S}),
        learned_record(route={7: "soon"}),
        learned_record(route={9: 1}),
        learned_record(host={0: "much"}),
        learned_record(host={2: None}),
        learned_record(host={2: -5}),
        learned_record(host={6: 5000 * S}),
        ["a", [], "all"],
        ["a"],
        [["a"], [], []],
        "a",
        7,
        ["", [1, 2, 3], []],
        ["", ["soon", True], []],
    ],
    ids=lambda value: str(value)[:60],
)
def test_a_learned_state_that_no_relay_wrote_is_not_restored(record):
    relay, plain = (DispatcherHarness(hosts=[("a", None)]) for _ in range(2))
    good = ["b", *learned_record()[1:]]
    relay.dispatcher.restore_learned_state(relay.now, [record, good], relay.now)

    def play(harness):
        for _ in range(8):
            name, _ = harness.accept()
            harness.report_outcome(name, "full")
        harness.run(500 * MS, 100 * MS)
        return harness.sends()

    assert run_counted(lambda: play(relay)) == play(plain)


@pytest.mark.parametrize("limit", [25e303, 4e-303, 1e9, 1e-9])
def test_an_absurd_limit_stored_by_an_earlier_version_is_forgotten_alone(limit):
    relay = DispatcherHarness(hosts=[("a", None)])
    record = learned_record(route={2: limit})
    relay.dispatcher.restore_learned_state(relay.now, [["a", record[1], record[2][:9]]], relay.now)
    route = relay.dispatcher.hosts["a"].route
    assert route.reported_limit is None and not route.limit_confirmed
    assert (route.headroom, route.learned_rate, route.refused_at) == (0.5, 3.0, 999 * S)


@pytest.mark.parametrize("rate", [None, 1e308, 1e9])
def test_a_rate_that_grew_without_bound_in_an_earlier_version_is_restored_bounded(rate):
    relay = DispatcherHarness(hosts=[("a", None)])
    record = learned_record(route={1: rate, 2: None})
    relay.dispatcher.restore_learned_state(relay.now, [record], relay.now)
    name, _ = relay.accept()
    assert relay.dispatcher.hosts["a"].route.learned_rate == MAX_LIMIT
    assert relay.dispatcher.open_messages[name].route or relay.sends()


# Guards against load reports that can't be read and look like none, in the log and in the metrics.
def test_load_reports_that_cannot_be_read_are_logged_once_for_a_host_and_counted(tmp_path):
    town = RelayUnderTest(tmp_path, hosts=("h1",))
    town.plan = lambda call: (200, {"X-Load": "noise" * 200})
    try:
        town.start()
        assert [town.submit(name) for name in ("a", "b", "c")] == [202] * 3
        assert wait_until(lambda: len(town.calls) == 3)
        town.end(signal.SIGTERM)
        lines = [event for event in town.events() if event["event"] == "load report not read"]
        assert [(line["host"], line["length"], line["level"]) for line in lines] == [("h1", 1000, "warning")]
        assert town.events()[-2]["load reports.not read"] == 3
    finally:
        town.close()
