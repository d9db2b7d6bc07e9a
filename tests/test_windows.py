"""Repeats of keyed messages on real processes: none may arrive behind the idempotency window."""

import time

import pytest
from helpers import Town, until

from courseroute.town.proxy import Proxy

WINDOW_S = 0.8
LARGE_BODY = b"x" * 9_000  # more than a proxy takes in unread, less than the sender's system does


@pytest.fixture
def town(tmp_path):
    town = Town(tmp_path)
    grades = [grade | {"window": int(WINDOW_S * 1_000_000)} for grade in town.settings["grades"]]
    town.settings = town.settings | {"grades": grades}
    yield town
    town.close()


@pytest.fixture
def proxies(town):
    """One before each host, with little room for unread bytes; the list of endpoints names the proxies."""
    made = []
    for places in town.where.values():
        made.append(Proxy(places[0], receive_buffer=4096))
        places[:] = [made[-1].address]
    yield made
    for proxy in made:
        proxy.close()


def lose_first_answer(proxies, switch):
    """A plan for the hosts: the first answer is lost, once `switch` was thrown at each proxy."""

    def plan(call):
        if call["n"]:
            return 200, {}
        for proxy in proxies:
            switch(proxy)
        return "drop"

    return plan


def wait_until_window_is_over(town):
    assert until(lambda: town.calls and time.time() > town.calls[0]["at"] + WINDOW_S)


def assert_not_repeated(town):
    times = [call["at"] - town.calls[0]["at"] for call in town.calls]
    assert len(times) == 1, f"sent again {times[1]:.3f} s after the first"
    assert town.notices == [{"id": "a", "state": "failed"}]


# Guards against a keyed request being sent again outside its window because its connection came up late.
def test_a_repeat_does_not_leave_when_its_connection_comes_up_behind_the_idempotency_window(town, proxies):
    town.plan = lose_first_answer(proxies, Proxy.drop_new_connections)
    town.start()
    assert town.hand_in("a", "order") == 202
    wait_until_window_is_over(town)
    for proxy in proxies:
        proxy.accept_again()
    assert until(lambda: town.notices or len(town.calls) > 1)
    assert_not_repeated(town)


# Guards against a keyed request reaching its server outside its window as its last bytes were on the way.
def test_a_repeat_whose_last_bytes_have_not_arrived_when_its_window_is_over_never_arrives(town, proxies):
    town.plan = lose_first_answer(proxies, Proxy.hold_bytes)
    town.start()
    assert town.hand_in("a", "order", LARGE_BODY) == 202
    assert until(lambda: town.notices)
    wait_until_window_is_over(town)
    endings = [event["ending"] for event in town.events() if event["event"] == "attempt ended"]
    assert "timeout" not in endings  # it was given up for its window, before its time-out
    for proxy in proxies:
        proxy.pass_bytes()
    assert not until(lambda: len(town.calls) > 1, 0.5)
    assert_not_repeated(town)


# Guards against a request reaching its server after the relay gave it up and told its client so.
def test_an_attempt_given_up_before_its_bytes_arrived_never_arrives(town, proxies):
    for proxy in proxies:
        proxy.hold_bytes()
    town.start()
    assert town.hand_in("a", "once", LARGE_BODY) == 202
    assert until(lambda: town.notices == [{"id": "a", "state": "failed"}])
    for proxy in proxies:
        proxy.pass_bytes()
    assert not until(lambda: town.calls, 0.5)


# Guards against a keyed request being sent again outside its window after the wall clock was set back.
@pytest.mark.parametrize("step_s", [-3600, -2])
def test_a_window_is_over_for_the_next_life_when_the_wall_clock_was_set_back(town, step_s):
    town.plan = lambda call: "hang" if call["n"] == 0 else (200, {})
    town.start()
    assert town.hand_in("a", "order") == 202
    assert until(lambda: town.calls)
    town.end()
    wait_until_window_is_over(town)
    town.start(wall_clock_step_s=step_s)
    assert until(lambda: town.notices or len(town.calls) > 1)
    assert_not_repeated(town)


@pytest.mark.parametrize("step_s", [3600, -3600])
def test_a_message_is_sent_by_the_next_life_when_the_wall_clock_was_stepped(town, step_s):
    town.plan = lambda call: (429, {"Wait-Ms": "300"}) if call["n"] == 0 else (200, {})
    town.start()
    assert town.hand_in("a", "notice") == 202
    assert until(lambda: town.calls)
    town.end()
    town.start(wall_clock_step_s=step_s)
    assert until(lambda: len(town.calls) == 2 or town.notices)
    assert not town.notices and len(town.calls) == 2
