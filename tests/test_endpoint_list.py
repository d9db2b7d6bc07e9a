"""When discovery is called again, and how long its list is used unconfirmed; time is held by hand."""

import random

import pytest
from helpers import DispatcherHarness, S, actions_named

from courseroute.decisions.endpoint_list import EndpointListSchedule
from courseroute.model.causes import HoldCause

MS = S // 1000
NOTIFIED_WITHIN, GRACE = 6 * S, 1 * S
MOVED_NOTIFIED_WITHIN = 4 * S
TERMS = {
    "notified_within": NOTIFIED_WITHIN,
    "moved_notified_within": MOVED_NOTIFIED_WITHIN,
    "drain_grace": GRACE,
}
WATCH_WAIT = 1 * S


def polling_relay(**terms):
    return DispatcherHarness(**TERMS | {"ask": True, "ask_within": 10 * S} | terms)


def calls_for_list(relay, span, answer=None):
    """[(time since now, wait)] of the calls in a span; `answer(n)` is told each one's number and may tell the
    relay what came of it at once."""
    begun, calls = relay.now, []
    while relay.now < begun + span:
        for _, wait in actions_named(relay.run(10 * MS), "watch"):
            calls.append((relay.now - begun, wait))
            if answer:
                answer(len(calls) - 1)
    return calls


# Guards against requests to a draining server because a call to discovery was repeated too late.
@pytest.mark.parametrize("ask_within", [4 * S, 10 * S, 60 * S])
@pytest.mark.parametrize("turned_away", [False, True])
def test_behind_a_silent_watch_three_calls_fit_in_before_the_list_may_not_be_used(ask_within, turned_away):
    relay = polling_relay(ask_within=ask_within)
    relay.apply("update_endpoints", "changes", [])
    calls = calls_for_list(
        relay,
        NOTIFIED_WITHIN + GRACE - 200 * MS,
        lambda n: turned_away and relay.apply("update_endpoints", "failed", []),
    )
    assert 3 <= len(calls) <= 7


def test_an_answered_call_is_followed_by_one_that_waits_for_news():
    relay = polling_relay()
    assert actions_named(relay.apply("update_endpoints", "changes", []), "watch") == [("watch", WATCH_WAIT)]


# Guards against calls in a loop: one that need not wait is answered at once, and the next one has to wait.
def test_calls_that_are_all_answered_as_they_should_be_come_at_the_watchs_pace():
    relay = polling_relay()
    relay.run(5 * S)
    waits = []
    for _ in range(20):
        wait = actions_named(relay.apply("update_endpoints", "changes", [], relay.now), "watch")[0][1]
        waits.append(wait)
        assert not actions_named(relay.run(wait), "watch")
    assert set(waits) == {WATCH_WAIT}


@pytest.mark.parametrize("failures, least, most", [(1, 0, 1 * S), (12, 1 * S, 4 * S)])
def test_a_discovery_that_fails_for_long_is_called_ever_less_often(failures, least, most):
    relay = polling_relay()
    relay.apply("update_endpoints", "changes", [])
    for _ in range(failures):
        relay.apply("update_endpoints", "failed", [])
        before = relay.now
        while not actions_named(relay.run(10 * MS), "watch"):
            pass
    assert least <= relay.now - before <= most


def sends_of(relay, span):
    """Times from now of the sends in a span in which a message comes every 100 ms."""
    begun = relay.now
    while relay.now < begun + span:
        _, acts = relay.accept(left=2 * S)
        acts += relay.run(100 * MS, 50 * MS)
        for _, message, host, _ in actions_named(acts, "send"):
            relay.report_outcome(message, "delivered", host=host)
    return [at - begun for at, *_ in relay.sends()]


# Guards against requests to a draining server while discovery turns all calls away, or all of them hang.
@pytest.mark.parametrize("turned_away", [False, True])
def test_nothing_is_sent_by_a_list_that_may_be_out_of_date_until_it_is_confirmed(turned_away):
    relay = polling_relay()
    if turned_away:
        relay.apply("update_endpoints", "failed", [])
    sends = sends_of(relay, NOTIFIED_WITHIN + GRACE + 500 * MS)
    assert NOTIFIED_WITHIN < max(sends) < NOTIFIED_WITHIN + GRACE - 150 * MS
    relay.accept()
    acts = relay.apply("update_endpoints", "changes", [("a", "ready", "z", 4.0, "plain", "d")])
    assert actions_named(acts, "send")


def test_an_attempt_whose_connection_comes_up_when_the_list_may_be_out_of_date_is_held():
    relay = polling_relay()
    relay.run(6 * S)
    name, acts = relay.accept()
    assert actions_named(acts, "send") and relay.dispatcher.hold_cause(relay.now, name, 0) is None
    relay.run(1 * S)
    assert relay.dispatcher.hold_cause(relay.now, name, 0) is HoldCause.LIST_TOO_OLD


# Guards against a discovery that is down stopping all service: its last list is used again.
def test_a_discovery_that_fails_for_long_counts_as_down_and_its_list_is_used_again():
    relay = polling_relay()
    relay.apply("update_endpoints", "failed", [])
    relay.run(NOTIFIED_WITHIN + GRACE)
    name, acts = relay.accept()
    assert not actions_named(acts, "send")
    assert [act[1] for act in actions_named(relay.run(2 * S), "send")] == [name]


# Guards against a new life sending by a list that changed while no process ran.
def test_a_restored_list_is_used_for_a_short_time_only():
    schedule = EndpointListSchedule(TERMS, random.uniform)
    schedule.list_restored(1000 * S)
    assert not schedule.is_unusable(1002 * S) and schedule.is_unusable(1003 * S)


# Guards against an outage of discovery that it told of stopping service for a time.
def test_the_list_of_a_discovery_that_went_down_is_used_until_it_answers_again():
    relay = polling_relay()
    relay.apply("update_endpoints", "ended", [])
    assert sends_of(relay, 20 * S)[-1] > 19 * S
    relay.apply("update_endpoints", "changes", [])
    assert sends_of(relay, 8 * S)[-1] < NOTIFIED_WITHIN + GRACE


# Guards against requests to a draining server behind a SIGHUP that moves discovery, where the new one fails.
@pytest.mark.parametrize("went_down", [False, True])
def test_behind_a_move_of_discovery_the_old_list_is_used_for_as_long_as_it_is_good(went_down):
    relay = polling_relay()
    if went_down:
        relay.apply("update_endpoints", "ended", [])
    assert actions_named(relay.apply("discovery_moved"), "watch") == [("watch", 0)]
    relay.apply("update_endpoints", "failed", [])
    relay.apply("discovery_moved")
    sends = sends_of(relay, MOVED_NOTIFIED_WITHIN + GRACE + 1 * S)
    assert MOVED_NOTIFIED_WITHIN < sends[-1] < MOVED_NOTIFIED_WITHIN + GRACE - 100 * MS
