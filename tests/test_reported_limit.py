"""How far hosts' figures for their limits are believed, and what one absurd figure does to sends."""

import math

import pytest
from helpers import MS, DispatcherHarness, S, actions_named

from courseroute.model.histogram import SpanCounter

FAR_OFF = [999_999.0, 1000.0, 0.02, 1e-9, 4e-303, 25e303, math.inf, math.nan, -5.0]


def reports(relay, limits, ending="delivered"):
    """Answers one message for each limit, with a report of it unless it is None; returns the route."""
    for limit in limits:
        name, _ = relay.accept()
        report = None if limit is None else {"left": 0.5, "limit": limit}
        relay.report_outcome(name, ending, report=report)
        relay.run(100 * MS, 50 * MS)
    return relay.dispatcher.hosts["a"].route


# Guards against one absurd report that lifts the limit for hundreds of reports, or shuts the destination.
@pytest.mark.parametrize("odd", FAR_OFF)
def test_one_report_far_from_the_others_moves_nothing(odd):
    relay, plain = (DispatcherHarness(hosts=[("a", None)]) for _ in range(2))
    route = reports(relay, [25.0, 24.0, 26.0, odd, 25.0, 24.0, odd, 26.0])
    assert route.reported_limit == reports(plain, [25.0, 24.0, 26.0, 25.0, 24.0, 26.0]).reported_limit


@pytest.mark.parametrize("odd", FAR_OFF)
def test_an_absurd_first_report_holds_for_two_more_at_most(odd):
    relay = DispatcherHarness(hosts=[("a", None)])
    route = reports(relay, [odd, 25.0, 24.0])
    assert 24.0 <= route.reported_limit <= 25.0 and route.limit_confirmed


@pytest.mark.parametrize(
    "limits, expected",
    [
        ([25.0], 25.0),  # the first applies at once
        ([25.0, 35.0], 26.0),  # the next are smoothed
        ([25.0, 0.0], 0.0),
        ([25.0, 0.0, 35.0], 35.0),
        ([25.0, 2.0, 1.9], 1.9),  # a second one that agrees shows that it changed
        ([25.0, 2.0, 25.0, 2.0], 25.0),
        ([25.0, 2.0, 900.0], 25.0),
    ],
)
def test_reports_as_a_limit(limits, expected):
    relay = DispatcherHarness(hosts=[("a", None)])
    assert reports(relay, limits).reported_limit == pytest.approx(expected)


def test_a_first_report_far_below_what_was_just_served_is_not_believed_alone():
    relay = DispatcherHarness(hosts=[("a", None)])
    for _ in range(4):
        relay.report_outcome(relay.accept()[0], "delivered")
    assert reports(relay, [0.05]).reported_limit is None
    assert reports(relay, [0.06]).reported_limit == 0.06


def test_the_slow_start_goes_by_no_limit_that_only_one_report_gave():
    """One absurd first report would have the backlog sent at once to a host that has just returned."""

    def sends_after_return(limits):
        relay = DispatcherHarness(hosts=[("a", None)])
        reports(relay, limits)
        host = relay.dispatcher.hosts["a"]
        host.outage_length, host.slow_start_since, host.not_before = 5 * S, relay.now, relay.now
        before, actions = len(relay.sends()), []
        for _ in range(20):
            actions += relay.accept()[1]
        for _ in range(30):
            for action in actions_named(actions, "send"):
                relay.report_outcome(action[1], "delivered")
            actions = relay.run(100 * MS, 20 * MS)
        return len(relay.sends()) - before

    assert sends_after_return([900_000.0]) == sends_after_return([None]) < 5
    assert sends_after_return([900_000.0, 900_000.0]) > 10


@pytest.mark.parametrize("rate", [1e9, 1e-9, 25e303, math.nan, math.inf, -1.0])
def test_a_listed_rate_that_no_destination_has_counts_as_none(rate):
    relay = DispatcherHarness(hosts=[("a", rate)])
    assert relay.dispatcher.hosts["a"].listed_rate is None
    assert reports(relay, [25.0], ending="full").reported_limit == 25.0
    assert relay.dispatcher.send_budget(relay.now, relay.dispatcher.hosts["a"].route) <= 25.0


# Guards against reports that shift the spans in which deliveries are counted, and so the growth of budgets.
def test_a_report_leaves_the_count_of_deliveries_as_it_is():
    def spans(limit):
        relay = DispatcherHarness(hosts=[("a", None)])
        reports(relay, [None] * 5)
        relay.now += 1200 * MS
        counter = reports(relay, [limit] * 2, ending="error").recent_deliveries
        return counter.start, counter.count, counter.last

    assert spans(25.0) == spans(None)


def test_looking_at_a_counter_gives_what_reading_it_gives():
    for after in (0, 500 * MS, S, 1500 * MS, 2 * S, 3 * S):
        looked, read = SpanCounter(S), SpanCounter(S)
        for at in (10 * S, 10 * S + 100 * MS, 11 * S + 50 * MS):
            looked.add(at)
            read.add(at)
        assert looked.peek_highest(11 * S + 50 * MS + after) == read.highest(11 * S + 50 * MS + after)
