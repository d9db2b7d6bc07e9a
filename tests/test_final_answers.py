"""Relay processes give each accepted message its final answer in time, whatever is slow."""

import threading
import time

import pytest
from helpers import RelayUnderTest, wait_until

from courseroute.emulator.proxy import Proxy

END_WITHIN_S = 0.3 + 0.05  # after the deadline, as the protocol allows, with its tolerance
CLIENT_WAITS_S = 0.4  # for its answer: a request is at most this old when it is accepted
PROCESS_DELAY_S = 0.15  # between reading the clock and the write, at most
TIME_LEFT_S = 2.0


@pytest.fixture
def town(tmp_path):
    """Hosts that never answer, and a proxy in front of the platform; `client_proxy` is one in front of the
    relay."""
    town = RelayUnderTest(tmp_path)
    town.plan = lambda call: "hang"
    platform_proxy = Proxy(town.discovery)
    town.platform_proxy, town.discovery = platform_proxy, platform_proxy.address
    town.start()
    town.client_proxy = Proxy(town.relay_address)
    yield town
    town.close()
    town.client_proxy.close()
    platform_proxy.close()


def submit_late(town, unseen_s):
    """Submits a message whose request takes `unseen_s` seconds to reach the relay. Returns its deadline on
    the monotonic clock and the status of the answer."""
    town.client_proxy.late_s = unseen_s
    town.relay_address, direct = town.client_proxy.address, town.relay_address
    begun = time.monotonic()
    status = town.submit("a", left=f"{TIME_LEFT_S * 1000:.0f}m")
    town.relay_address = direct
    return begun + TIME_LEFT_S, status


def ended_at(town):
    """Waits for a notice and returns its time on the monotonic clock."""
    assert wait_until(lambda: town.notices, within=TIME_LEFT_S + 2)
    return time.monotonic()


# Guards against a late final answer to a request that took long to reach the relay, so that its deadline was
# nearer than the relay could know.
def test_a_request_that_took_long_to_arrive_gets_its_final_answer_in_time(town):
    town.platform_proxy.late_s = 0.06
    deadline, status = submit_late(town, unseen_s=0.33)
    assert status == 202
    assert ended_at(town) <= deadline + END_WITHIN_S


# Guards against a deadline counted from when the relay read a request instead of from when it arrived.
def test_a_request_that_waited_unread_in_its_socket_ends_before_its_deadline(town):
    town.end()
    town.start(slow_calls="accept 0.045")
    ended = {}

    def submit(name):
        begun = time.monotonic()
        if town.submit(name, left="900m") == 202:
            wait_until(lambda: name in [notice["id"] for notice in town.notices])
            ended[name] = time.monotonic() - begun

    clients = [threading.Thread(target=submit, args=(f"m{number}",)) for number in range(8)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    unread = [event["unread_ms"] for event in town.events() if event["event"] == "message closed"]
    assert max(unread) > 200 and len(ended) == len(unread)
    assert max(ended.values()) < 0.9 - PROCESS_DELAY_S


# Guards against notices waiting for a call to the platform that gets no answer.
@pytest.mark.parametrize("silent", [1, 2])
def test_a_message_ends_in_time_though_calls_to_the_platform_get_no_answer(town, silent):
    town.platform_proxy.silent_connections = silent
    deadline, status = submit_late(town, unseen_s=0.3)
    assert status == 202
    assert ended_at(town) <= deadline + END_WITHIN_S


def submit_until_accepted(town, name, left):
    """Submits a message, under another id each time, until one is accepted; returns its id. A relay that
    stands still for 0.15 s may refuse a message with so little time left, which is owed no notice then."""
    for repeat in range(8):
        if town.submit(f"{name}{repeat}", left=left) == 202:
            return f"{name}{repeat}"
    raise AssertionError(f"no message {name} was accepted")


# As above, for notices that are queued while such a call is under way.
def test_a_notice_does_not_wait_for_a_call_to_the_platform_that_gets_no_answer(town):
    town.platform_proxy.silent_connections = 1
    accepted = {submit_until_accepted(town, "a", "600m"), submit_until_accepted(town, "b", "650m")}
    assert wait_until(lambda: {notice["id"] for notice in town.notices} == accepted), town.events()
    closed = {event["id"]: event["at"] for event in town.events() if event["event"] == "message closed"}
    assert time.time() * 1000 - max(closed.values()) < 200


# As above, where calls without an answer use all connections.
def test_calls_to_the_platform_without_an_answer_are_replaced_by_others(town):
    town.platform_proxy.silent_connections = 8
    begun, count = time.monotonic(), 5
    for number in range(count):
        assert town.submit(f"m{number}", left=f"{TIME_LEFT_S * 1000:.0f}m") == 202
        time.sleep(0.06)
    assert wait_until(lambda: len(town.notices) == count, within=TIME_LEFT_S + 2)
    assert time.monotonic() <= begun + TIME_LEFT_S + END_WITHIN_S
