"""Stalls of the process: deadlines count from the arrival of a request, not from when it is read."""

import signal
import threading
import time

import pytest
from helpers import RelayUnderTest, wait_until

from courseroute.run.standstill import Standstills

MS = 1_000_000
END_WITHIN_S = 0.3 + 0.05  # allowed by the protocol after the deadline


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
