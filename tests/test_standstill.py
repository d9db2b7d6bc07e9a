"""Stalls of the process: deadlines count from the arrival of a request, not from when it is read."""

import functools
import signal
import threading
import time

import pytest
from helpers import RelayUnderTest, wait_until

from courseroute.run.standstill import Standstills

MS = 1_000_000
END_WITHIN_S = 0.3 + 0.05  # allowed by the protocol after the deadline
STOPPED_S = 1.5


# Guards against a late final answer to a request that arrived while the relay was stopped and so waited
# unread.
def test_a_request_that_waited_unread_ends_within_its_deadline(tmp_path):
    town = RelayUnderTest(tmp_path)
    try:
        town.plan = lambda call: "hang"
        town.start()
        town.relay.send_signal(signal.SIGSTOP)
        client = threading.Thread(target=town.submit, args=("a",), kwargs={"left": "1500m"})
        submitted_at = time.monotonic()
        client.start()
        time.sleep(0.8)
        town.relay.send_signal(signal.SIGCONT)
        client.join()
        assert wait_until(lambda: town.notices)
        assert time.monotonic() - submitted_at <= 1.5 + END_WITHIN_S
    finally:
        town.close()


@pytest.mark.parametrize(
    "checks, unread_ms",
    [
        ([(0, 0.01), (10, 0.01)], 0),  # each wait ends in time
        ([(0, 1.0), (900, 1.0)], 0),
        ([(0, 0.01), (810, 0.01)], 810),  # stopped during a wait
        ([(0, 0.0), (400, 0.0)], 400),  # or between waits
        ([(0, 0.0), (400, 0.0), (410, 0.0), (700, 0.0)], 700),  # stopped again before all was read
        ([(0, 0.0), (400, 0.0), (450, 0.1), (550, 0.1)], 0),  # all that arrived meanwhile is read by now
    ],
)
def test_how_long_a_request_may_have_waited_unread(checks, unread_ms):
    now = [0]
    detector = Standstills(lambda: now[0])
    for at_ms, expected_s in checks:
        now[0] = at_ms * MS
        detector.look(expected_s)
    assert detector.unread_for() == unread_ms * MS


# Issue 56: messages ended late where the relay was stopped as their final answers were due, again and again.
@pytest.mark.parametrize("is_accepted_first", [True, False])
def test_a_message_ends_in_time_though_the_relay_is_stopped_again(tmp_path, is_accepted_first):
    town = RelayUnderTest(tmp_path)
    try:
        town.plan = lambda call: "hang"
        town.start()
        stop = functools.partial(stop_for, town.relay, STOPPED_S)
        if not is_accepted_first:
            stop()
            time.sleep(0.3)  # longer than a request counts as one that waited unread
        submitted_at = time.monotonic()
        assert town.submit("a", left="6000m") == 202
        if is_accepted_first:
            stop()
        again = threading.Timer(submitted_at + 5.3 - time.monotonic(), stop)
        again.start()
        assert wait_until(lambda: town.notices, 9)
        assert time.monotonic() - submitted_at <= 6 + END_WITHIN_S
        again.join()
    finally:
        town.close()


ANSWER_AFTER_S, STOP_S = 0.2, 1.9


def submit_before_stop(town, plan, left="8000m", before=lambda: None, during=lambda: time.sleep(STOP_S)):
    """Submits a message `a`, stops the relay before its host answers as `plan` says, and lets it go on
    behind `during`. `before` is called before the stop."""

    def answer(call):
        time.sleep(ANSWER_AFTER_S)
        return plan(call)

    town.plan = answer
    town.start()
    assert town.submit("a", left=left) == 202
    assert wait_until(lambda: town.calls_for("a"))
    before()
    town.relay.send_signal(signal.SIGSTOP)
    during()
    town.relay.send_signal(signal.SIGCONT)


@pytest.fixture
def one_host(tmp_path):
    town = RelayUnderTest(tmp_path, hosts=("h1",))
    yield town
    town.close()


# Guards against an answer that came while the relay stood still being given up unread: its message was sent
# again (review/9), or told to have failed where its time was over too.
@pytest.mark.parametrize("left, lane", [("8000m", "notice"), ("8000m", "order"), ("1500m", "notice")])
def test_an_answer_that_came_while_the_relay_stood_still_is_heeded(one_host, left, lane):
    submit_before_stop(one_host, lambda call: (200, {}), left)
    time.sleep(STOP_S)
    assert len(one_host.calls_for("a")) == 1 and not one_host.notices


# The same for a wait that a host asked for.
def test_a_wait_that_was_told_while_the_relay_stood_still_is_heeded(one_host):
    told = []

    def refuse(call):
        told.append(time.time())
        return (429, {"Wait-Ms": "3500"}) if len(told) == 1 else (200, {})

    submit_before_stop(one_host, refuse)
    assert wait_until(lambda: len(one_host.calls_for("a")) == 2)
    assert one_host.calls_for("a")[1]["at"] >= told[0] + 3.5


# Guards against messages that came in a stall going to a host that drains, by news that came in it too.
def test_news_of_discovery_that_came_while_the_relay_stood_still_is_heeded_first(tmp_path):
    town = RelayUnderTest(tmp_path)
    clients = [threading.Thread(target=town.submit, args=(f"m{i}",)) for i in range(8)]

    def wait_for_watch():  # news is told to a watch that is open
        begun = len(town.watches)
        assert wait_until(lambda: len(town.watches) > begun)

    def drain_and_submit():
        town.change("h1", "leaving")
        time.sleep(STOP_S)  # beyond the time in which a draining host may get messages
        for client in clients:
            client.start()
        time.sleep(ANSWER_AFTER_S)

    try:
        submit_before_stop(town, lambda call: (200, {}), before=wait_for_watch, during=drain_and_submit)
        for client in clients:
            client.join()
        assert wait_until(lambda: all(town.calls_for(f"m{i}") for i in range(8)))
        assert {call["host"] for call in town.calls if call["id"] != "a"} == {"h2"}
    finally:
        town.close()


@pytest.mark.parametrize(
    "looks, heeds",
    [
        ([0, 10, 20], [(20, False)]),
        ([0, 400], [(400, True), (400, False)]),
        ([0, 400, 410], [(411, True), (420, False)]),
        ([0], [(400, True), (410, False), (800, True)]),  # in one task that goes on
    ],
)
def test_a_stall_is_heeded_once(looks, heeds):
    now = [0]
    detector = Standstills(lambda: now[0])
    for at_ms in looks:
        now[0] = at_ms * MS
        detector.look(0.0)
    for at_ms, has_stalled in heeds:
        now[0] = at_ms * MS
        assert detector.heed() == has_stalled


def stop_for(process, seconds):
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)
