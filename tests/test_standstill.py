"""A process that stood still: deadlines run from when a request came, not from when it was read."""

import signal
import threading
import time

import pytest
from helpers import Town, until

from courseroute.run.standstill import Standstills

MS = 1_000_000
END_WITHIN_S = 0.3 + 0.05  # of the deadline, as the protocol has it


# Guards against a final answer behind its time for a request that lay unread while the relay was stopped.
def test_a_request_that_lay_unread_ends_within_its_time(tmp_path):
    town = Town(tmp_path)
    try:
        town.plan = lambda call: "hang"
        town.start()
        town.relay.send_signal(signal.SIGSTOP)
        client = threading.Thread(target=town.hand_in, args=("a",), kwargs={"left": "1500m"})
        handed_in = time.monotonic()
        client.start()
        time.sleep(0.8)
        town.relay.send_signal(signal.SIGCONT)
        client.join()
        assert until(lambda: town.notices)
        assert time.monotonic() - handed_in <= 1.5 + END_WITHIN_S
    finally:
        town.close()


@pytest.mark.parametrize(
    "looks, unread",
    [
        ([(0, 0.01), (10, 0.01)], 0),  # each wait as long as it may be
        ([(0, 1.0), (900, 1.0)], 0),
        ([(0, 0.01), (810, 0.01)], 810),  # stopped while it waited
        ([(0, 0.0), (400, 0.0)], 400),  # or at work
        ([(0, 0.0), (400, 0.0), (410, 0.0), (700, 0.0)], 700),  # once more before it had read all
        ([(0, 0.0), (400, 0.0), (450, 0.1), (550, 0.1)], 0),  # what came meanwhile is read by now
    ],
)
def test_how_long_a_request_may_have_lain_unread(looks, unread):
    now = [0]
    standstills = Standstills(lambda: now[0])
    for at_ms, expected_s in looks:
        now[0] = at_ms * MS
        standstills.look(expected_s)
    assert standstills.unread_for() == unread * MS
