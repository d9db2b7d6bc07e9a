"""The second address, the figures and the drain: tables, and the program itself over sockets."""
import http.client
import signal
import socket
import tempfile
import threading
import time

import pytest
from helpers import LANES, Town, until
from hypothesis import given, settings
from hypothesis import strategies as st

from courseroute.decide import HOUSE, MS, Dispatcher, S, seen_off
from courseroute.journal.disk import Disk
from courseroute.journal.store import Journal
from courseroute.state.desk import Desk
from courseroute.wire.notices import Notices


@pytest.fixture
def town(tmp_path):
    town = Town(tmp_path)
    yield town
    town.close()


class Lives:
    """A desk before the real module, whose calls come back as they are drawn."""

    def __init__(self, folder):
        terms = {"slots": 4, "room": 12, "legs": 3, "cancel": True, "tick": 5 * MS, "lanes": LANES}
        self.now, self.out, self.handed = 1000 * S, [], 0
        self.desk = Desk(Dispatcher(7, terms), terms, HOUSE, Journal(Disk(folder), 20_000), 10 ** 8,
                         lambda: self.now, lambda event, **told: None)
        self.desk.notices, self.desk.ready = Notices(self.desk, HOUSE, None, print), True
        self.desk.alarm, self.desk.hosts = lambda delay: None, self
        self.desk.tell("roster", "full", [(name, "ready", "z", None, "k", "d") for name in "ab"])

    def call(self, msg, n, host, until):
        self.out.append((msg.name, n, host))

    def cancel(self, name, n):
        pass

    def close(self, host):
        pass

    def unsent(self, msg, n, host):
        self.out.append((msg.name, n, host))

    def hand_in(self, lane, left, gone, dst="d"):
        self.handed += 1
        told = {"name": f"m{self.handed}", "dst": dst, "lane": lane, "left": left, "mark": "", "key": "",
                "customer": "", "again": False, "body": b"x" * 50}
        status, _ = self.desk.take(told, gone)
        if status == 202 and told["name"] in self.desk.held:    # its client did not hear that, and asks again
            assert self.desk.take(told, False) == (202, 0)

    def back(self, at, ending):
        if self.out:
            name, n, host = self.out.pop(at % len(self.out))
            self.desk.returned(name, n, host, ending, 0, ending in ("delivered", "gone"), 50 * MS, None)

    def pass_time(self, ns):
        self.now += ns
        self.desk.tell("wake")
        self.desk.told_of(list(self.desk.owed))

    def check(self):
        told = dict(self.desk.figures())
        ends = sum(count for name, count in told.items() if name.startswith("requests."))
        assert self.handed == ends + told["in_flight"] and told["in_flight"] == len(self.desk.held)


STEPS = st.lists(st.one_of(
    st.tuples(st.just("hand_in"), st.sampled_from(sorted(LANES)), st.sampled_from([MS, S, 9 * S]),
              st.booleans(), st.sampled_from(["d", "d", "d", "nowhere"])),
    st.tuples(st.just("back"), st.integers(0, 9), st.sampled_from(
        ["delivered", "error", "full", "timeout", "reset", "unreachable", "unsent", "cancelled"])),
    st.tuples(st.just("pass_time"), st.sampled_from([MS, 300 * MS, 5 * S, 20 * S]))), max_size=60)


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_figures_add_up_over_any_lives_of_messages(steps):
    """Handed in = delivered + refused + failed + in flight, whatever becomes of them; the disk is small."""
    with tempfile.TemporaryDirectory() as folder:
        lives = Lives(folder)
        for name, *told in steps:
            getattr(lives, name)(*told)
            lives.check()
        for _ in range(40):
            lives.pass_time(S)
        lives.back(0, "delivered")
        lives.check()
        assert not lives.desk.held


@pytest.mark.parametrize("data, status", [
    (b"GET /ops/nothing HTTP/1.1\r\nHost: r\r\n\r\n", b" 404 "),
    (b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", b" 404 "),
    (b"GET /ops/drain/start HTTP/1.1\r\nHost: r\r\n\r\n", b" 405 "), (b"nonsense\r\n\r\n", b" 400 "),
    (b"POST /ops/stats HTTP/1.1\r\nHost: r\r\n\r\n", b" 405 "),
    (b"GET /ops/readiness HTTP/1.1\r\nHost: r\r\n\r\n", b" 200 "),
])
def test_calls_are_answered_once_and_the_connection_ends(town, data, status):
    town.start()
    with socket.create_connection(("127.0.0.1", town.ops), timeout=1) as sock:
        sock.sendall(data * 2)
        got = b"".join(iter(lambda: sock.recv(65536), b""))
    assert got.startswith(b"HTTP/1.1" + status) and got.count(b"HTTP/1.1 ") == 1


def test_callers_who_never_finish_make_no_answer_late(town):
    town.start()
    idle = [socket.create_connection(("127.0.0.1", town.ops)) for _ in range(40)]
    for sock in idle[::2]:
        sock.sendall(b"GET /ops/st")
    for _ in range(5):
        begun = time.time()
        assert town.staff("GET /ops/stats")[0] == 200 and time.time() - begun < 0.5
    for sock in idle:       # and each gets its end
        sock.settimeout(3)
        assert b" 408 " in sock.recv(100)
        sock.close()


def test_figures_follow_what_became_of_messages(town):
    town.plan = lambda call: {"a": (200, {}), "b": (500, {}), "c": "hang"}[call["id"]]
    town.start()
    assert [town.hand_in(name, "once") for name in "abc"] == [202] * 3
    assert town.hand_in("d", left="1m") == 503          # not to be delivered in time
    assert town.hand_in("a", "once") in (200, 202)      # once more: no message of its own
    assert until(lambda: town.figures()["requests.once.failed"] == 1)
    told = town.figures()
    assert {name: told[name] for name in (
        "requests.once.served", "requests.once.failed", "requests.once.refused", "requests.notice.refused",
        "in_flight", "attempts", "hosts_known", "hosts_excluded")} == {
        "requests.once.served": 1, "requests.once.failed": 1, "requests.once.refused": 0,
        "requests.notice.refused": 1, "in_flight": 1, "attempts": 3,
        "hosts_known": len(town.place.hosts), "hosts_excluded": 0}


def test_a_drain_empties_the_relay_and_can_be_left_again(town):
    town.plan = lambda call: (429, {"Wait-Ms": "700"}) if call["n"] == 0 else (200, {})
    town.start()
    assert town.staff("POST /ops/drain/stop")[0] == 200     # stop without start
    kept = http.client.HTTPConnection("127.0.0.1", town.port, timeout=1)
    kept.request("GET", "/ready")
    assert kept.getresponse().read() == b""
    town.hand_in("a")
    trickling = socket.create_connection(("127.0.0.1", town.port), timeout=3)
    trickling.sendall(b"POST /notice HTTP/1.1\r\nHost: r\r\nX-Request-Id: t\r\nX-Deadline: 5000m\r\n")
    assert [town.staff("POST /ops/drain/start")[0] for _ in "12"] == [200, 200]
    assert town.ask("GET", "/ready")[0] == 503 and town.staff("GET /ops/readiness")[0] == 503
    assert kept.sock.recv(10) == b""        # idle: seen off at once
    assert town.hand_in("b") == 202         # connections still come for a moment
    trickling.sendall(b"Envelope: dest=7\r\nContent-Length: 0\r\n\r\n")
    answer = trickling.recv(1000)
    assert b" 202 " in answer and b"close" in answer.lower() and trickling.recv(1000) == b""
    assert until(lambda: town.sent("a")[1:] and town.sent("b") and town.sent("t"))
    assert until(lambda: town.figures()["in_flight"] == 0)
    time.sleep(0.5)
    assert town.hand_in("c") == 503         # by now nobody should come
    assert town.staff("POST /ops/drain/stop")[0] == 200
    assert town.ask("GET", "/ready")[0] == 200 and town.hand_in("d") == 202
    assert until(lambda: town.sent("d"))
    assert [event["phase"] for event in town.events() if event["event"] == "phase"] == [
        "recovering", "serving", "draining", "serving"]


@pytest.mark.parametrize("waits, crowd, order", [
    ({"silent": 60, "half": 900, "idle": 900}, 0.1, ["silent", "idle", "half"]),
    ({"silent": 10, "half": 900, "idle": 900}, 0.1, ["idle", "half", "silent"]),    # who just came will speak
    ({"silent": 10, "half": 900, "idle": 900}, 0.5, ["silent", "idle", "half"]),    # so many are a crowd
    ({"silent": 0, "half": 900, "idle": 60}, 0.0, ["idle", "half", "silent"]),
    ({"silent": 0, "half": 900, "idle": 10}, 0.0, ["half", "idle", "silent"]),  # just answered: asks again
])
def test_who_makes_room_in_a_full_house(waits, crowd, order):
    assert list(seen_off({kind: ms * MS for kind, ms in waits.items()}, crowd)) == order


def test_a_message_that_takes_two_seconds_to_write_gets_through_a_crowd(tmp_path):
    town = Town(tmp_path, limits={"sockets": 96})
    try:
        town.start()
        crowd = []

        def come():
            """A crowd beyond the house's bound: some ask once and stay, some write half, some say nothing."""
            for n in range(90):
                crowd.append(socket.create_connection(("127.0.0.1", town.port)))
                crowd[-1].sendall((b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", b"POST /no", b"")[n % 3] or b"")
                time.sleep(0.02)
        crowding = threading.Thread(target=come)
        crowding.start()
        parts = [b"POST /notice HTTP/1.1\r\nHost: r\r\n", b"X-Request-Id: s\r\n", b"X-Deadline: 5000m\r\n",
                 b"Envelope: dest=7\r\n", b"\r\n"]
        answers = town.raw([step for part in parts for step in (part, 0.5)])
        crowding.join()
        assert b" 202 " in answers
        assert town.ask("GET", "/ready")[0] == 200 and town.staff("GET /ops/readiness")[0] == 200
        for sock in crowd:
            sock.close()
    finally:
        town.close()


def test_a_draining_relay_ends_by_sigterm_and_reads_its_file_anew(town):
    town.start()
    assert town.staff("POST /ops/drain/start")[0] == 200
    town.relay.send_signal(signal.SIGHUP)
    assert until(lambda: any(event["event"] == "configuration read" for event in town.events()))
    assert town.ask("GET", "/ready")[0] == 503
    assert town.end(signal.SIGTERM) == 0
    town.start()        # a drain ends with its process
    assert town.hand_in("a") == 202
