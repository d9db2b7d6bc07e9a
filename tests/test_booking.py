"""Booking with figures of any size: the work is counted in executed lines, so that a loop ends the test."""

from fractions import Fraction

import pytest
from helpers import MS, DispatcherHarness, S, actions_named, run_counted

from courseroute.decisions.booking import FOREVER, first_second_with_room

ABSURD_LIMITS = [25e303, 25e304, 1.7e308, 1e299, 1e20, 1e7, 1e-3, 1e-6, 1e-9, 4e-303, 5e-324]


# Guards against a relay that loops for ever over one absurd load report and one refusal by the same host.
@pytest.mark.parametrize("how", ["reported", "known before"])
@pytest.mark.parametrize("limit", ABSURD_LIMITS)
def test_a_reported_limit_of_any_size_is_booked_by_in_few_steps(limit, how):
    relay = DispatcherHarness(hosts=[("a", None)], relays=2)
    relay.now += 300 * MS
    report = {"left": 0.4, "limit": limit} if how == "reported" else None
    if how == "known before":
        relay.dispatcher.hosts["a"].route.reported_limit = limit

    def play():
        name, _ = relay.accept()
        relay.report_outcome(name, "full", wait=500 * MS, report=report)
        for _ in range(3):
            relay.accept()
            relay.run(500 * MS, 100 * MS)

    run_counted(play)
    relay.run(16 * S, 100 * MS)
    messages = relay.dispatcher.open_messages.values()
    assert all(message.pending for message in messages)  # the others were answered in time
    assert actions_named([action[1:] for action in relay.actions], "send")


def stepped(second, booked, budget):
    """The definition: a second is passed over while it has sends and no room for one more."""
    while booked > 0 and booked + 1 > budget:
        second, booked = second + S, booked - budget
    return second, booked


@pytest.mark.parametrize("budget", ["1/896", "1/10", "4/5", "1", "5/4", "16/5", "31/4", "24", "120"])
@pytest.mark.parametrize("booked", ["0", "1/8", "1", "15/8", "7", "23", "24", "119", "500"])
def test_the_first_second_with_room_is_that_of_stepping_through_all(booked, budget):
    booked, budget = Fraction(booked), Fraction(budget)
    exact = stepped(7 * S, booked, budget)
    found = first_second_with_room(7 * S, float(booked), float(budget))
    assert abs(found[0] - exact[0]) <= S * (float(budget) != budget)  # where the float differs by a rounding
    assert found[1] == pytest.approx(float(exact[1]), abs=float(budget) * (found[0] != exact[0]) + 1e-9)


@pytest.mark.parametrize("budget", [0.0, -1.0, 5e-324, 1e-200])
def test_no_second_has_room_without_a_budget(budget):
    assert first_second_with_room(7 * S, 1.0, budget) == (FOREVER, 0.0)
