"""Retries of keyed messages by a relay process: none may arrive after the idempotency window."""

import time

import pytest
from helpers import RelayUnderTest, wait_until

from courseroute.emulator.proxy import Proxy

WINDOW_S = 0.8
LARGE_BODY = b"x" * 9_000  # more than a proxy's receive buffer holds, less than the sender's send buffer


@pytest.fixture
def town(tmp_path):
    town = RelayUnderTest(tmp_path)
    grades = [grade | {"window": int(WINDOW_S * 1_000_000)} for grade in town.settings["grades"]]
    town.settings = town.settings | {"grades": grades}
    yield town
    town.close()


@pytest.fixture
def proxies(town):
    """One proxy in front of each host, with a small receive buffer; the endpoint list names the proxies."""
    created = []
    for addresses in town.where.values():
        created.append(Proxy(addresses[0], receive_buffer=4096))
        addresses[:] = [created[-1].address]
    yield created
    for proxy in created:
        proxy.close()


def lose_first_answer(proxies, switch):
    """A plan for the hosts: at the first call, calls `switch` on each proxy and drops the answer."""

    def plan(call):
        if call["n"]:
            return 200, {}
        for proxy in proxies:
            switch(proxy)
        return "drop"

    return plan


def wait_until_window_is_over(town):
    assert wait_until(lambda: town.calls and time.time() > town.calls[0]["at"] + WINDOW_S)


def assert_not_repeated(town):
    delays = [call["at"] - town.calls[0]["at"] for call in town.calls]
    assert len(delays) == 1, f"sent again {delays[1]:.3f} s after the first"
    assert town.notices == [{"id": "a", "state": "failed"}]


# Guards against a keyed request being sent again after its window because its connection came up late.
def test_a_retry_is_not_sent_when_its_connection_is_established_after_its_window(town, proxies):
    town.plan = lose_first_answer(proxies, Proxy.drop_new_connections)
    town.start()
    assert town.submit("a", "order") == 202
    wait_until_window_is_over(town)
    for proxy in proxies:
        proxy.accept_again()
    assert wait_until(lambda: town.notices or len(town.calls) > 1)
    assert_not_repeated(town)


# Guards against a keyed request reaching its server after its window because its last bytes were in transit.
def test_a_retry_whose_last_bytes_are_in_transit_when_its_window_closes_never_arrives(town, proxies):
    town.plan = lose_first_answer(proxies, Proxy.hold_bytes)
    town.start()
    assert town.submit("a", "order", LARGE_BODY) == 202
    assert wait_until(lambda: town.notices)
    wait_until_window_is_over(town)
    endings = [event["ending"] for event in town.events() if event["event"] == "attempt ended"]
    assert "timeout" not in endings  # abandoned for its window, before its timeout
    for proxy in proxies:
        proxy.pass_bytes()
    assert not wait_until(lambda: len(town.calls) > 1, 0.5)
    assert_not_repeated(town)


# Guards against a request reaching its server after the relay abandoned it and reported the failure.
def test_an_attempt_abandoned_before_its_bytes_arrived_never_arrives(town, proxies):
    for proxy in proxies:
        proxy.hold_bytes()
    town.start()
    assert town.submit("a", "once", LARGE_BODY) == 202
    assert wait_until(lambda: town.notices == [{"id": "a", "state": "failed"}])
    for proxy in proxies:
        proxy.pass_bytes()
    assert not wait_until(lambda: town.calls, 0.5)


# Guards against a keyed request being sent again outside its window after the wall clock was set back.
@pytest.mark.parametrize("step_s", [-3600, -2])
def test_a_closed_window_stays_closed_after_a_restart_with_the_wall_clock_set_back(town, step_s):
    town.plan = lambda call: "hang" if call["n"] == 0 else (200, {})
    town.start()
    assert town.submit("a", "order") == 202
    assert wait_until(lambda: town.calls)
    town.end()
    wait_until_window_is_over(town)
    town.start(wall_clock_step_s=step_s)
    assert wait_until(lambda: town.notices or len(town.calls) > 1)
    assert_not_repeated(town)


@pytest.mark.parametrize("step_s", [3600, -3600])
def test_a_message_is_sent_after_a_restart_with_the_wall_clock_stepped(town, step_s):
    town.plan = lambda call: (429, {"Wait-Ms": "300"}) if call["n"] == 0 else (200, {})
    town.start()
    assert town.submit("a", "notice") == 202
    assert wait_until(lambda: town.calls)
    town.end()
    town.start(wall_clock_step_s=step_s)
    assert wait_until(lambda: len(town.calls) == 2 or town.notices)
    assert not town.notices and len(town.calls) == 2
