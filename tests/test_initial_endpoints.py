"""Which endpoint list a process begins with, in each way in which a process begins to send."""

import json
import signal
import time

import pytest
from helpers import DispatcherHarness, S, actions_named, wait_until

from courseroute.decisions.endpoint_list import EndpointListSchedule, ListKnowledge, is_configured_newer
from courseroute.model.causes import HoldCause
from courseroute.run.initial_endpoints import InitialEndpoints
from courseroute.state.endpoint_cache import EndpointCache, ListOrigin

MS = S // 1000
TERMS = {"notified_within": 6 * S, "moved_notified_within": 4 * S, "drain_grace": 1 * S}
ENTRIES = [("a", "ready", "z", None, "plain", "d")]
MESSAGES, INTERVAL_S = 24, 0.1


def upgrade(town):
    old = town.start_beside()
    old.send_signal(signal.SIGTERM)
    assert old.wait(3.7) == 0


def upgrade_twice(town):
    upgrade(town)
    upgrade(town)


def restart_by(number):
    def restart(town):
        town.end(number)
        town.start()

    return restart


def lose_successor_then_upgrade(town):
    old = town.start_beside()
    town.end()
    town.relay = old
    upgrade(town)


def lose_new_process(town):
    upgrade(town)
    restart_by(signal.SIGKILL)(town)


def move_discovery_then_upgrade(town):
    """SIGHUP moves discovery to another address, which is down as well."""
    town.move_platform("gone")
    town.configure()
    town.relay.send_signal(signal.SIGHUP)
    assert wait_until(lambda: any(event["event"] == "configuration read" for event in town.events()))
    upgrade(town)


def submit_through_outage(town):
    """Submits messages at intervals; returns the hosts that got them, once all are delivered."""
    names = [f"m{i}" for i in range(MESSAGES)]
    for name in names:
        assert town.submit(name) == 202
        time.sleep(INTERVAL_S)
    assert wait_until(lambda: all(town.calls_for(name) for name in names))
    return [call["host"] for call in town.calls if call["id"] in names]


# Guards against messages to a host that has left the list, and whose address may be another's by now, where a
# process begins while discovery is down (review/6); and against holding messages back through the outage.
@pytest.mark.parametrize(
    "begin",
    [
        lambda town: None,
        upgrade,
        upgrade_twice,
        restart_by(signal.SIGTERM),
        restart_by(signal.SIGKILL),
        lose_successor_then_upgrade,
        lose_new_process,
        move_discovery_then_upgrade,
    ],
    ids="goes-on upgrade two-upgrades SIGTERM SIGKILL lost-successor lost-new-process SIGHUP".split(),
)
def test_a_process_begins_with_the_list_that_the_relay_had_when_discovery_went_down(town, begin):
    town.start()
    assert wait_until(lambda: len(town.watches) >= 2)
    town.change("h1", "left")
    assert wait_until(lambda: any(event["event"] == "endpoints told" for event in town.events()))
    town.discovery_plan = lambda n: 503
    assert wait_until(lambda: any(event["event"] == "discovery failed" for event in town.events()))
    time.sleep(INTERVAL_S)  # as long as it takes to write that down
    begin(town)
    assert submit_through_outage(town) == ["h2"] * MESSAGES and not town.notices


# Guards against sends by a list that changed while no process ran (review/7).
def test_a_list_whose_time_is_over_waits_for_the_first_answer_of_discovery(town):
    town.start()
    assert wait_until(lambda: len(town.watches) >= 2)
    time.sleep(INTERVAL_S)
    town.end()
    town.change("h1", "left")
    state = json.loads((town.folder / "state" / "list").read_bytes())
    state["state"]["knowledge"]["as_of"] = state["state"]["knowledge"]["usable_until"] = 1
    (town.folder / "state" / "list").write_text(json.dumps(state))
    (town.folder / "state" / "list-state").unlink()
    town.discovery_plan = lambda n: time.sleep(3 * INTERVAL_S)
    town.start()
    assert submit_through_outage(town) == ["h2"] * MESSAGES


def relay_with(knowledge, follows=False, at=None):
    """A relay that begins with a list and what is known of it, at the time of `DispatcherHarness` or `at`."""
    relay = DispatcherHarness(hosts=(), ask=True, ask_within=10 * S, **TERMS)
    relay.now = relay.now if at is None else at
    dispatcher = relay.dispatcher
    dispatcher.list_schedule = EndpointListSchedule(dispatcher.terms, dispatcher.uniform)
    dispatcher.list_calls.schedule = dispatcher.list_schedule
    relay.apply("restore_endpoints", ENTRIES, knowledge)
    if follows:
        relay.apply("continue_list_failures", knowledge)
    return relay


def sends_within(relay, span):
    """How many messages are sent within a span in which one comes every 100 ms and each call for the list
    fails."""
    sent, end = 0, relay.now + span
    while relay.now < end:
        actions = relay.accept(left=1 * S)[1]
        for _ in range(10):
            actions += relay.run(10 * MS)
            for kind, *details in actions:
                if kind == "send":
                    sent += 1
                    actions += relay.report_outcome(details[0], "delivered", host=details[1])
                elif kind == "watch":
                    actions += relay.apply("update_endpoints", "failed", [])
            actions = []
    return sent


BEGUN_AT = DispatcherHarness().now
OUTAGE = 14 * S


# Guards against an upgrade that holds messages back in an outage which the relay has known for some time.
@pytest.mark.parametrize("failing_for", [1 * S, 4 * S, 7 * S])
def test_as_much_is_sent_in_an_outage_with_an_upgrade_as_without(failing_for):
    old = DispatcherHarness(ask=True, ask_within=10 * S, **TERMS)
    old.apply("update_endpoints", "failed", [])
    sends_within(old, failing_for)
    knowledge = old.dispatcher.list_schedule.knowledge(old.now)
    new = relay_with(knowledge, follows=True, at=old.now)
    with_upgrade, without = sends_within(new, OUTAGE), sends_within(old, OUTAGE)
    assert abs(with_upgrade - without) <= 2 and without > 100


@pytest.mark.parametrize(
    "knowledge, follows, is_usable",
    [
        (ListKnowledge(BEGUN_AT - 1 * S, BEGUN_AT + 5 * S), False, True),
        (ListKnowledge(BEGUN_AT - 7 * S, BEGUN_AT - 1), False, False),
        (ListKnowledge(BEGUN_AT - 7 * S, BEGUN_AT - 1, BEGUN_AT - 6 * S, True), False, True),
        (ListKnowledge(BEGUN_AT - 99 * S, BEGUN_AT - 92 * S, BEGUN_AT - 98 * S), False, False),
        (ListKnowledge(BEGUN_AT - 99 * S, BEGUN_AT - 92 * S, BEGUN_AT - 98 * S), True, True),
        (ListKnowledge(BEGUN_AT - 7 * S, BEGUN_AT + 99 * S), False, False),  # no time beyond the list's age
        (ListKnowledge(BEGUN_AT - 2 * S, BEGUN_AT - 1), False, False),  # discovery has moved
        (ListKnowledge(BEGUN_AT + 9 * S, BEGUN_AT + 99 * S), False, True),  # a time to come: age unknown
        (ListKnowledge(), False, True),
        (None, False, True),
    ],
)
def test_until_the_first_call_a_list_is_used_as_its_knowledge_allows(knowledge, follows, is_usable):
    relay = relay_with(knowledge, follows)
    name, actions = relay.accept()
    assert bool(actions_named(actions, "send")) == is_usable
    if is_usable:
        assert relay.dispatcher.hold_cause(relay.now, name, 0) is not HoldCause.LIST_TOO_OLD


# Guards against a list that nobody has confirmed ending all service where discovery went down unseen.
@pytest.mark.parametrize(
    "response_time, fails_at, used_from",
    [(0, None, 500 * MS), (0, 20 * MS, 20 * MS), (S, None, 1500 * MS), (1300 * MS, None, 1950 * MS)],
)
def test_a_list_whose_time_is_over_is_used_for_a_while_where_no_first_answer_comes(
    response_time, fails_at, used_from
):
    as_of = BEGUN_AT - 30 * S
    relay = relay_with(ListKnowledge(as_of, as_of + 6850 * MS, response_time=response_time))
    assert not actions_named(relay.accept()[1], "send")
    if fails_at is not None:
        relay.run(fails_at)
        relay.apply("update_endpoints", "failed", [])
    relay.run(BEGUN_AT + used_from + 5 * MS - relay.now)
    begun = [at for at, *_ in relay.sends()]
    assert begun and used_from <= begun[0] - BEGUN_AT <= used_from + 5 * MS
    schedule = relay.dispatcher.list_schedule
    assert not schedule.is_unusable(BEGUN_AT + 2345 * MS) and schedule.is_unusable(BEGUN_AT + 2350 * MS)
    relay = relay_with(ListKnowledge(as_of, as_of + 6850 * MS, as_of + S, response_time=response_time))
    relay.accept()
    assert not actions_named(relay.run(2350 * MS), "send")  # its time was over before the restart too


# Guards against a restart that holds messages back as the outage that the relay had noticed is forgotten.
@pytest.mark.parametrize("failing_for, is_down", [(7 * S, False), (9 * S, True)])
def test_a_discovery_that_counted_as_down_stays_down_behind_a_restart(failing_for, is_down):
    old = DispatcherHarness(ask=True, ask_within=10 * S, **TERMS)
    old.apply("update_endpoints", "failed", [])
    sends_within(old, failing_for)
    new = relay_with(old.dispatcher.list_schedule.knowledge(old.now), at=old.now + 3 * S)
    new.apply("restore_learned_state", old.dispatcher.learned_state(old.now), old.now)
    assert (sends_within(new, 5 * S) >= 45) == is_down
    new.apply("update_endpoints", "changes", [])
    assert not new.dispatcher.list_schedule.is_down(new.now)


@pytest.mark.parametrize(
    "answered_at, own, earlier, as_of, failing_since",
    [
        (None, None, 5, 4, 5),
        (None, 8, 5, 4, 5),
        (None, 8, None, 9, 9),  # the process before was answered later
        (6, None, 5, 4, None),  # this one was
        (6, 8, 5, 4, 8),
        (None, None, None, None, None),
    ],
)
def test_two_processes_are_one_to_the_failures_of_discovery(answered_at, own, earlier, as_of, failing_since):
    schedule = EndpointListSchedule(TERMS, None)
    schedule.answered_at, schedule.failing_since = answered_at, own
    schedule.continue_failures(ListKnowledge(as_of, None, earlier))
    assert schedule.failing_since == failing_since


class Discovery:
    """Records the lists that it is given."""

    def __init__(self):
        self.restored, self.tracker = [], self

    def source(self):
        return "127.0.0.1:1"

    def restore_endpoints(self, entries, addresses, origin, knowledge):
        self.restored.append((origin.version, knowledge and knowledge.as_of))

    def notify_dispatcher(self, method, knowledge):
        self.restored.append(method)


class Clock:
    continues = True

    def now(self):
        return 99 * S


def save_list(folder, source, version, as_of, entries):
    """Leaves a list in the folder, as a process does."""
    origin, knowledge = ListOrigin(source, version), ListKnowledge(as_of, as_of + 6 * S)
    cache = EndpointCache(str(folder), 9999, lambda: (origin, knowledge))
    cache.update("full", entries, {"a": ("127.0.0.1", 9)})
    assert cache.save()
    return cache


@pytest.mark.parametrize(
    "source, version, configured, begins_with",
    [
        ("127.0.0.1:1", 5, 5, (5, 30 * S)),
        ("127.0.0.1:1", 5, 4, (5, 30 * S)),
        ("127.0.0.1:1", 5, 6, (6, None)),  # an earlier version of this program ran in between
        ("127.0.0.1:2", 5, 6, (5, 30 * S)),  # versions of another address
        ("127.0.0.1:1", None, 6, (None, 30 * S)),
        ("127.0.0.1:1", 5, None, (5, 30 * S)),
    ],
)
def test_the_newer_of_the_saved_and_the_configured_list_counts(
    tmp_path, source, version, configured, begins_with
):
    save_list(tmp_path, source, version, 30 * S, ENTRIES)
    document = None if configured is None else {"index": configured, "snapshot": True, "endpoints": []}
    discovery = Discovery()
    cache = EndpointCache(str(tmp_path), 9999)
    InitialEndpoints(cache, document, False, discovery, None, Clock()).restore_at_start()
    assert discovery.restored == [begins_with]
    assert is_configured_newer((source, version), ("127.0.0.1:1", configured or 0)) == (
        begins_with[1] is None
    )


# Guards against a successor that keeps an older list than that of the process before, or takes one.
@pytest.mark.parametrize("own_as_of, is_taken", [(None, True), (29 * S, True), (31 * S, False)])
@pytest.mark.parametrize("follows", [True, False])
def test_at_the_takeover_the_later_list_counts(tmp_path, own_as_of, is_taken, follows):
    schedule = DispatcherHarness(**TERMS).dispatcher.list_schedule
    schedule.as_of = own_as_of
    cache = save_list(tmp_path, "127.0.0.1:1", 5, 29 * S, ENTRIES)
    cache.save_state(ListOrigin("127.0.0.1:1", 5), ListKnowledge(30 * S, 36 * S, 31 * S))
    discovery = Discovery()
    InitialEndpoints(cache, None, False, discovery, schedule, Clock()).restore_at_takeover(follows)
    assert discovery.restored == is_taken * [(5, 30 * S)] + follows * ["continue_list_failures"]


# Guards against the age of a newer list counting for an older one whose file could not be replaced.
def test_what_is_known_of_a_list_counts_for_that_list_only(tmp_path):
    cache = save_list(tmp_path, "127.0.0.1:1", 5, 29 * S, ENTRIES)
    cache.save_state(ListOrigin("127.0.0.1:1", 6), ListKnowledge(80 * S, 86 * S))
    assert cache.load_list().knowledge.as_of == 29 * S
    for damaged in (b"", b"{}", b'{"version":1}\n{}', b"\xff"):
        (tmp_path / "list-state").write_bytes(damaged)
        assert cache.load_list().knowledge.as_of == 29 * S
    (tmp_path / "list").write_text(json.dumps({"index": 1, "snapshot": True, "endpoints": []}))
    saved = cache.load_list()  # as earlier versions wrote it
    assert saved.origin == ListOrigin() and saved.knowledge == ListKnowledge()
