"""State of the relay: tracker and journal, connection pool, saved endpoint list, pending notices."""

import errno
import random
import socket
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from helpers import MS, S

from courseroute.decisions.answer_trust import REST
from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.journal.disk import Disk
from courseroute.journal.faulty import FaultyDisk
from courseroute.journal.frames import OWED
from courseroute.journal.store import Journal
from courseroute.model.causes import CloseCause, ConnectionCloseCause
from courseroute.state.endpoint_cache import EndpointCache
from courseroute.state.metrics import Metrics
from courseroute.state.pool import ConnectionPool
from courseroute.state.tracker import END_RECORD_BYTES, MessageTracker
from courseroute.wire.clients import Clients
from courseroute.wire.notices import Notices
from courseroute.wire.protocol import parse_endpoint_list


class FakeConnection:
    """Stands in for a Connection, on a real socket pair; `peer` is the other end."""

    def __init__(self):
        self.socket, self.peer = socket.socketpair()

    def close(self):
        self.socket.close()


@pytest.mark.parametrize(
    "age, fresh, disturb, reused",
    [
        (REST - 1, 9 * S, None, False),
        (REST, 9 * S, None, True),
        (7 * S, 9 * S, None, True),
        (8 * S, 9 * S, None, False),
        (S, S, None, False),
        (REST, S, lambda connection: connection.peer.close(), False),
        (REST, S, lambda connection: connection.peer.send(b"x"), False),
    ],
)
def test_an_idle_connection_is_reused_only_if_quiet_and_open(age, fresh, disturb, reused):
    now = [100 * S]
    pool = ConnectionPool(2, 8 * S, lambda: now[0], lambda: fresh)
    assert pool.reserve()
    connection = FakeConnection()
    pool.add_idle("h", connection, REST)
    now[0] += age
    if disturb:
        disturb(connection)
    assert (pool.take_idle("h")[0] is connection) == reused and pool.open_count == int(reused or age < REST)


# Guards against a late duplicate of an answer being read as the answer to the next call.
def test_the_newest_connection_past_its_quiet_period_is_used():
    now = [100 * S]
    pool, connections = (
        ConnectionPool(3, 8 * S, lambda: now[0], lambda: 9 * S),
        [FakeConnection(), FakeConnection(), FakeConnection()],
    )
    for connection in connections:
        assert pool.reserve()
        pool.add_idle("h", connection, REST)
        now[0] += REST * 2 // 3
    assert [pool.take_idle("h")[0] for _ in connections] == [connections[1], connections[0], None]


def test_the_pool_reports_why_it_closed_a_connection_and_its_unread_bytes():
    pool, closed = ConnectionPool(1, 8 * S, lambda: 0, lambda: 9 * S), []
    pool.on_closed = lambda _, cause, waiting=b"": closed.append((cause, waiting))
    for disturb in (lambda peer: peer.send(b"HTTP/1.1 503"), lambda peer: peer.close()):
        assert pool.reserve()
        connection = FakeConnection()
        pool.add_idle("h", connection, REST)
        disturb(connection.peer)
        pool.close_stale()
    behind = ConnectionCloseCause.UNEXPECTED_BYTES, b"HTTP/1.1 503"
    assert closed == [behind, (ConnectionCloseCause.ENDED_BY_HOST, b"")]


def test_the_pool_is_bounded_and_evicts_idle_connections():
    pool = ConnectionPool(2, 8 * S, lambda: 0, lambda: S)
    assert pool.reserve() and pool.reserve() and not pool.reserve()
    pool.add_idle("h", FakeConnection(), REST)
    assert pool.reserve() and pool.open_count == 2 and not pool.reserve()


FIELDS = {
    "name": "a",
    "dst": "7",
    "lane": "notice",
    "time_left": S,
    "mark": "",
    "customer": "",
    "again": False,
    "key": "",
    "body": b"x",
}


class PassiveDispatcher:
    """A dispatcher that decides nothing and records the messages it was given."""

    def __init__(self):
        self.told = []

    def accept(self, now, *told):
        self.told.append(told)
        return []

    def final_statuses_accepted(self, now, names):
        return []

    def end_batch(self, now):
        return []


class FaultyDispatcher(PassiveDispatcher):
    """Raises, and returns an action that does not exist."""

    def accept(self, now, *told):
        raise ValueError("odd")

    def end_batch(self, now):
        return [("no such action",)]


def tracker_of(folder, dispatcher, logged=None):
    log = Journal(Disk(folder), 1_000_000)
    log_event = (
        (lambda event, **told: logged.append(event)) if logged is not None else (lambda event, **told: None)
    )
    tracker = MessageTracker(
        dispatcher, {"lanes": {"notice": {}}}, RELAY_LIMITS, log, 10**8, lambda: 5 * MS, log_event
    )
    tracker.notices, tracker.ready = Notices(tracker, RELAY_LIMITS, None, log_event), True
    tracker.recover()
    return tracker


def compact_all(journal):
    """Compacts every segment but the newest."""
    journal.begin()
    for number in sorted(journal.segments)[:-1]:
        for _ in journal.compact(number):
            pass


def test_an_exception_in_one_decision_does_not_stop_the_relay(tmp_path):
    logged, wakes = [], []
    tracker = tracker_of(tmp_path, FaultyDispatcher(), logged)
    tracker.set_wakeup = wakes.append
    assert tracker.accept(FIELDS, False) == (202, 0)
    assert logged == ["fault"] * 2 and wakes == [RELAY_LIMITS["sweep_interval"]]


@pytest.mark.parametrize("compact_at", ["taken", "ended", "killed", "told", None])
@pytest.mark.parametrize("end", [None, "returned", "failed", "delivered"])
def test_a_compaction_at_any_time_neither_loses_nor_restores_a_message(tmp_path, compact_at, end):
    tracker = tracker_of(tmp_path, PassiveDispatcher())

    def step(moment):
        if moment == compact_at:
            compact_all(tracker.journal)

    step("taken")
    assert tracker.accept(FIELDS, False) == (202, 0) and tracker.accept(FIELDS, False) == (202, 0)
    step("ended")
    if compact_at == "killed":  # right after a compaction, before the record whose write started it

        def compact_and_stop(*parts):
            compact_all(tracker.journal)
            tracker.journal.write = lambda *parts: None

        tracker.journal.write = compact_and_stop
    if end == "delivered":
        tracker.complete(tracker.held["a"], end)
    elif end:
        tracker.close_message("a", end, 500, CloseCause.DEADLINE)
    step("told")
    tracker.journal.close()
    again = tracker_of(tmp_path, PassiveDispatcher())
    assert list(again.held) == ([] if end else ["a"])
    assert [told[0] for told in again.dispatcher.told] == list(again.held)
    assert list(again.notices.pending) == (["a"] if end in ("returned", "failed") else [])
    assert (
        again.accept(FIELDS, False)[0] == {None: 202, "returned": 503, "failed": 500, "delivered": 200}[end]
    )
    again.notices_accepted(list(again.notices.pending))
    ends = sum(END_RECORD_BYTES + len(name) for name in again.recent_ends)
    assert not again.pending_notices and again.reserved_bytes == ends + sum(
        msg.size for msg in again.held.values()
    )
    compact_all(again.journal)
    assert set(again.journal.entries) == set(again.held)
    assert sum(live for _, live in again.journal.segments.values()) <= again.reserved_bytes


def tracker_on(disk, now):
    """A tracker whose clock reads now[0], on a disk that can be made to fail."""
    journal, log_event = Journal(disk, 1_000_000), (lambda event, **told: None)
    tracker = MessageTracker(
        PassiveDispatcher(),
        {"lanes": {"notice": {}}},
        RELAY_LIMITS,
        journal,
        10**8,
        lambda: now[0],
        log_event,
    )
    tracker.notices, tracker.ready = Notices(tracker, RELAY_LIMITS, None, None), True
    tracker.recover()
    return tracker


def test_a_final_state_is_announced_once_written_or_when_its_message_has_no_time_left():
    """Guards against a closed message being sent after a restart (kills.toml): its final state was announced
    while a full disk kept it from being written, and the relay was killed."""
    disk, now = FaultyDisk(), [5 * MS]
    tracker = tracker_on(disk, now)
    for name in "ab":
        left = S * (1 + (name == "b")) + RELAY_LIMITS["sweep_interval"]
        assert tracker.accept(FIELDS | {"name": name, "time_left": left}, False) == (202, 0)
    disk.room = disk.used()
    tracker.close_message("a", "returned", 0, CloseCause.DEADLINE)
    tracker.close_message("b", "failed", 0, CloseCause.DEADLINE)
    tracker.retry_unwritten()
    assert not tracker.notices.pending
    now[0] += S
    tracker.retry_unwritten()
    assert list(tracker.notices.pending) == ["a"]
    disk.room = None
    tracker.retry_unwritten()
    assert list(tracker.notices.pending) == ["a", "b"] and not tracker.unannounced and not tracker.unwritten
    again = Journal(disk.after(), 1_000_000)
    assert [told[0] for kind, told, _ in again.read() if kind == OWED] == ["a", "b"]


# Guards against a final answer that is late by up to one sweep interval because its record could not be
# written.
def test_a_final_state_at_the_deadline_is_announced_at_once_though_it_cannot_be_written():
    disk, now = FaultyDisk(), [5 * MS]
    tracker = tracker_on(disk, now)
    assert tracker.accept(FIELDS, False) == (202, 0)
    disk.room = disk.used()
    now[0] += FIELDS["time_left"] - 10 * MS
    tracker.close_message("a", "returned", 0, CloseCause.DEADLINE)
    assert list(tracker.notices.pending) == ["a"] and tracker.unwritten


# As above, for a message that is closed before its deadline, by the time reserved for the final answer.
def test_a_final_state_that_cannot_be_written_is_announced_when_its_final_answer_is_due():
    disk, now = FaultyDisk(), [5 * MS]
    tracker = tracker_on(disk, now)
    assert tracker.accept(FIELDS | {"time_left": 4 * S}, False) == (202, 0)
    disk.room = disk.used()
    now[0] = tracker.held["a"].final_answer_due - 10 * MS
    tracker.close_message("a", "returned", 0, CloseCause.DEADLINE)
    assert list(tracker.notices.pending) == ["a"] and tracker.unwritten


@pytest.mark.parametrize("last_byte", [True, False])
def test_a_connection_closed_as_idle_whose_request_was_just_read_is_answered(last_byte):
    """A task yields between a read and the processing of its bytes: another task may then find the connection
    without unread bytes and close it as idle."""
    request = b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"

    class Answers:
        def handle_request(self, request, peer_closed, unread):
            return 200, (), b""

    async def play():
        ours, theirs = trio.socket.socketpair()
        clients = Clients(Answers(), RELAY_LIMITS, None, 9, 1, 9999, lambda *told, **more: None)
        read = trio.SocketStream.receive_some

        async def receive(stream, size):
            data = await read(stream, size)
            for connection in list(clients.open_connections):
                clients.close_waiting(connection)
            return data

        await theirs.send(request if last_byte else request[:9])
        trio.SocketStream.receive_some = receive
        try:
            with trio.fail_after(1):
                await clients.handle_connection(ours)
        finally:
            trio.SocketStream.receive_some = read
        assert (await theirs.recv(99)).startswith(b"HTTP/1.1 200 ") == last_byte
        assert (
            not clients.open_connections
            and not any(clients.waiting.values())
            and clients.partial_bytes_left == 9999
        )

    trio.run(play)


def test_the_endpoint_list_survives_a_restart_and_is_never_partly_written(tmp_path):
    draw, cache = random.Random(1), EndpointCache(str(tmp_path), 4000)
    assert cache.load() is None and not cache.save()
    one = ("h1", "ready", "z", None, "k", "7")
    cache.update(
        "full", [one, ("h2", "draining", "z", 2.5, "k", "7")], {"h1": ("127.0.0.1", 1), "h2": ("::1", 2)}
    )
    assert cache.save() and not cache.save()  # only if it changed
    again = EndpointCache(str(tmp_path), 4000)
    index, scope, entries, addresses = parse_endpoint_list(again.load(), False)
    assert scope == "full" and one in entries and addresses["h2"] == ("::1", 2)
    again.update("saved", entries, addresses)
    again.update("changes", [("h2", "gone", "z", None, "k", "7"), ("h1", "ready", "y", None, "k", "7")], {})
    assert again.save()
    _, _, entries, addresses = parse_endpoint_list(again.load(), False)
    assert entries == [("h1", "ready", "y", None, "k", "7")] and addresses == {"h1": ("127.0.0.1", 1)}
    names = [f"x{i}" for i in range(90)]
    several = [(name, "ready", "z", None, "k", "7") for name in names]
    again.update("changes", several, dict.fromkeys(names, ("127.0.0.1", 1)))
    assert again.save() and (tmp_path / "list").stat().st_size <= 4000  # compressed
    assert len(parse_endpoint_list(again.load(), False)[2]) == 91
    names = [f"x{draw.getrandbits(64)}" for _ in range(900)]
    many = [(name, "ready", "z", None, "k", "7") for name in names]
    again.update("changes", many, dict.fromkeys(names, ("127.0.0.1", 1)))
    assert not again.save()  # a list that is too long is not saved
    again.update("full", [], {})
    assert again.save() and parse_endpoint_list(again.load(), False)[2] == []  # all hosts have left
    for torn in (b"", b"{", b"[]", b"\xff"):
        (tmp_path / "list").write_bytes(torn)
        assert again.load() is None
    assert not EndpointCache(str(tmp_path / "none"), 4000).save()
    assert [file.name for file in tmp_path.iterdir()] == ["list"]


# Guards against requests to a draining server after a kill: the next process starts from the saved list.
def test_updates_of_the_endpoint_list_are_saved_at_once(tmp_path):
    cache = EndpointCache(str(tmp_path), 4000)
    addresses = {"h1": ("127.0.0.1", 80)}
    cache.update_and_save("full", [("h1", "ready", "z", 1.0, "k", "7")], addresses)
    cache.update_and_save("changes", [("h1", "draining", "z", 1.0, "k", "7")], {})
    _, _, entries, _ = parse_endpoint_list(EndpointCache(str(tmp_path), 4000).load(), False)
    assert [(name, state) for name, state, *_ in entries] == [("h1", "draining")]
    assert not cache.save()  # nothing was left to be saved later


def notices_to_refusing_platform(tracker):
    """Notices whose platform refuses connections."""
    return Notices(tracker, RELAY_LIMITS, ("127.0.0.1", 1), lambda event, **told: None)


# Guards against a crash of the relay when another call delivers a notice before a call's own task starts.
def test_a_call_whose_notice_was_accepted_by_another_call_is_made_without_error():
    async def play():
        notices = notices_to_refusing_platform(SimpleNamespace(metrics=Metrics()))
        notices.add("a", "failed", 0)
        call = notices.start_call(["a"], trio.current_time())
        del notices.pending["a"]
        await notices.make_call(call)
        assert not notices.pending and call.connection in notices.free

    trio.run(play)


# Guards against a notice waiting for its own retry while calls with other notices are made and answered.
def test_a_call_to_the_platform_includes_the_notices_of_calls_under_way():
    async def play():
        notices = notices_to_refusing_platform(SimpleNamespace(metrics=Metrics()))
        notices.add("a", "failed", 0)
        notices.start_call(["a"], trio.current_time())
        assert not notices.next_batch(trio.current_time())
        notices.add("b", "failed", 0)
        assert notices.next_batch(trio.current_time()) == ["b", "a"]

    trio.run(play)


# Guards against clients waiting longer than their 0.4 s because descriptors were briefly exhausted.
def test_an_accept_that_fails_briefly_delays_clients_little_and_is_logged_once():
    logged = []

    class Listener:
        def __init__(self, *accepts):
            self.accepts = list(accepts)

        async def accept(self):
            await trio.lowlevel.checkpoint()
            accepted = self.accepts.pop(0)
            if isinstance(accepted, Exception):
                raise accepted
            return accepted, None

    class Answers:
        def handle_request(self, request, peer_closed, unread):
            return 200, (), b""

    async def play():
        ours, theirs = trio.socket.socketpair()
        await theirs.send(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
        no_descriptors = OSError(errno.ENFILE, "Too many open files in system")
        listener = Listener(no_descriptors, no_descriptors, ours, trio.ClosedResourceError())
        clients = Clients(
            Answers(), RELAY_LIMITS, listener, 9, 1, 9999, lambda event, **told: logged.append(event)
        )
        with trio.fail_after(0.4):
            await clients.serve()
        assert (await theirs.recv(99)).startswith(b"HTTP/1.1 200 ")

    trio.run(play)
    assert logged == ["no descriptors for a client"]


# Guards against memory held by refused connections, whose clients are given time to read the answer.
def test_a_refused_connection_holds_no_memory_while_its_client_reads_the_answer():
    async def play():
        ours, theirs = trio.socket.socketpair()
        refused, connections, log = [], [], lambda event, **told: None
        count = lambda status, target: refused.append((status, target))  # noqa: E731
        clients = Clients(None, RELAY_LIMITS, None, 9, 1, 99_999, log, count)
        admit = clients.admit
        clients.admit = lambda connection: connections.append(connection) or admit(connection)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(clients.handle_connection, ours)
            await theirs.send(b"POST /x HTTP/1.1\r\nHost: r\r\nContent-Length: 99999\r\n\r\n" + b"x" * 5000)
            assert b" 413 " in await theirs.recv(99)
            assert clients.open_connections and clients.partial_bytes_left == 99_999
            assert connections[0].http.h11 is None and refused == [(413, None)]
            theirs.close()

    trio.run(play)


# Guards against clients that are turned away while refused connections keep their places.
def test_a_refused_connection_gives_its_place_to_a_client_with_a_request():
    class Ready:
        def handle_request(self, request, peer_closed, unread):
            return 200, (), b""

    async def play():
        clients = Clients(Ready(), RELAY_LIMITS, None, 1, 1, 99_999, lambda event, **told: None)
        async with trio.open_nursery() as nursery:
            ready = b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"
            for request, status in ((b"noise\r\n\r\n", b" 400 "), (ready, b" 200 ")):
                ours, theirs = trio.socket.socketpair()
                nursery.start_soon(clients.handle_connection, ours)
                await theirs.send(request)
                assert status in await theirs.recv(99)
                await trio.testing.wait_all_tasks_blocked()
            assert len(clients.open_connections) == 1 and not clients.refused
            nursery.cancel_scope.cancel()

    trio.run(play)
