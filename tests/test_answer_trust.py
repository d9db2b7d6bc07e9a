"""Connections to hosts that send bytes which no call asked for."""

import json
import socket

import pytest
from helpers import DispatcherHarness

from courseroute.decide import S
from courseroute.decisions.answer_trust import (
    DISTRUST_TIME,
    FORGET_LOSSES_AFTER,
    REST,
    REST_AFTER_REFUSAL,
    REST_UNPROVEN,
    RESTS_TO_PROVE,
)
from courseroute.model.causes import ConnectionCloseCause
from courseroute.state.pool import WATCH_TIME_NS, ConnectionPool


class RestHarness(DispatcherHarness):
    """Asks and tells the dispatcher of connections to host "a"."""

    def rest(self, is_delivery=True):
        return self.dispatcher.connection_rest(self.now, "a", is_delivery)

    def keeps(self):
        return self.dispatcher.keeps_connections(self.now, "a")

    def rested(self, is_clean, after=0, times=1):
        for _ in range(times):
            self.now += after
            self.dispatcher.record_rest(self.now, "a", is_clean)


@pytest.fixture
def relay():
    return RestHarness(hosts=(("a", 4.0), ("b", 4.0)))


def test_a_host_without_unsolicited_bytes_keeps_its_connections(relay):
    assert relay.keeps() and (relay.rest(), relay.rest(is_delivery=False)) == (REST, REST_AFTER_REFUSAL)
    assert relay.dispatcher.connection_rest(relay.now, "not listed", True) is None


# Issue 49: a host that had sent copies of its answers was believed on kept connections again at once.
def test_only_first_answers_are_believed_until_no_unsolicited_bytes_have_come_for_a_while(relay):
    relay.rested(is_clean=False)
    relay.rested(is_clean=False, after=DISTRUST_TIME // 2)
    relay.now += DISTRUST_TIME - 1
    assert not relay.keeps() and relay.rest() is None
    assert relay.dispatcher.keeps_connections(relay.now, "b")
    relay.now += 1
    assert relay.keeps() and relay.rest() == REST_UNPROVEN


@pytest.mark.parametrize(
    "losses, rests", [(1, RESTS_TO_PROVE), (2, 2 * RESTS_TO_PROVE), (9, 16 * RESTS_TO_PROVE)]
)
def test_a_host_proves_itself_by_clean_rests_for_longer_each_time(relay, losses, rests):
    for _ in range(losses):
        relay.rested(is_clean=False)
        relay.rested(is_clean=True)  # proves nothing yet
        relay.now += DISTRUST_TIME
    relay.rested(is_clean=True, times=rests - 1)
    assert relay.rest() == REST_UNPROVEN
    relay.rested(is_clean=True)
    assert relay.rest() == REST
    relay.rested(is_clean=False, after=FORGET_LOSSES_AFTER)
    relay.now += DISTRUST_TIME
    relay.rested(is_clean=True, times=RESTS_TO_PROVE)
    assert relay.rest() == REST


def test_a_restarted_relay_knows_which_hosts_sent_unsolicited_bytes(relay):
    relay.rested(is_clean=False)
    state = json.loads(json.dumps(relay.dispatcher.learned_state(relay.now)))
    fresh = RestHarness(hosts=(("a", 4.0), ("b", 4.0)))
    fresh.now = relay.now + S
    fresh.apply("restore_learned_state", state, relay.now)
    assert not fresh.keeps() and fresh.dispatcher.keeps_connections(fresh.now, "b")


# Guards against two faults: a copy of a delivery that counts as the next call's answer though bodies differ
# (report 2a2b21), and a delivery that is thrown away as it equals the one before (review/8).
@pytest.mark.parametrize(
    "bodies, expects_different_bodies",
    [([1], False), ([1, 2], True), ([1, 2, None], False), ([1, 2, 1, 3, 4], False), (range(40), True)],
)
def test_equal_deliveries_are_suspected_while_all_bodies_of_their_host_differ(
    relay, bodies, expects_different_bodies
):
    for body in bodies:
        relay.dispatcher.record_delivery_body("a", body)
        relay.dispatcher.record_delivery_body("b", 1)
    assert relay.dispatcher.expects_different_bodies("a") == expects_different_bodies
    assert not relay.dispatcher.expects_different_bodies("b")
    assert not relay.dispatcher.expects_different_bodies("not listed")


@pytest.mark.parametrize("lane, may_follow", [("retriable", True), ("keyed", True), ("once", False)])
def test_a_call_that_may_not_run_twice_follows_no_refusal_on_a_connection(relay, lane, may_follow):
    assert relay.dispatcher.may_follow_refusal(lane) == may_follow


class PairedConnection:
    """A connection whose other end is `peer`."""

    def __init__(self):
        self.socket, self.peer = socket.socketpair()

    def close(self):
        self.socket.close()


@pytest.mark.parametrize("sends_bytes", [True, False])
def test_one_connection_of_a_host_is_kept_unused_to_see_what_comes(sends_bytes):
    now, closed, rested = [0], [], []
    pool = ConnectionPool(2, 8 * S, lambda: now[0], lambda: 8 * S)
    pool.on_closed, pool.on_rested = lambda _, cause, waiting=b"": closed.append(cause), rested.append
    watched = PairedConnection()
    for connection in (watched, PairedConnection()):
        assert pool.reserve()
        pool.add_idle("h", connection, None)
    assert closed == [ConnectionCloseCause.HOST_NOT_TRUSTED] and pool.open_count == 1
    now[0] += WATCH_TIME_NS - 1
    pool.close_stale()
    assert pool.take_idle("h") == (None, None) and pool.open_count == 1
    if sends_bytes:
        watched.peer.send(b"HTTP/1.1 200")
    now[0] += 1
    pool.close_stale()
    assert pool.open_count == 0 and rested == ([] if sends_bytes else ["h"])
    last = ConnectionCloseCause.UNEXPECTED_BYTES if sends_bytes else ConnectionCloseCause.HOST_NOT_TRUSTED
    assert closed[1:] == [last]
