"""The emulated platform: the directory with its versions and long polls, and the endpoint for notices.

Called by `play`. Each relay gets a listener of its own, so that the ledger tells what each relay asked for
and what it was sent.
"""

import random
import re

import orjson
import trio

from courseroute.emulator.hosts import BODY, CONNECTION_ERRORS, HEAD, abort
from courseroute.wire.http import ProtocolError, ServerConnection

S = 1_000_000_000
MAX_WATCH_MS = 60_000  # upper bound of the `wait` that a long poll may ask for
CONTINUES_WITHIN_NS = 200_000_000  # a call this soon after an answer continues that relay's watch
MAX_TURN_WAIT_NS = (
    1_000_000_000  # a crowded directory answers 503 if the call would be served later than that
)
OLD_ADDRESS_GRACE_S = 1.5  # how long connections to a former address stay open
ACCEPTED_UNANSWERED_SHARE = (
    0.5  # share of the unanswered notice calls whose notices are recorded nevertheless
)
PROTOCOL_STATUS = {"active": "active", "draining": "leaving", "gone": "left"}


class Directory:
    """The endpoint list with its versions, without any networking. Entries are maps as in the protocol."""

    def __init__(self, entries):
        self.entries = {entry["name"]: entry for entry in entries}
        self.index, self.changes = 1, []  # (index, entry)
        self.down, self.delay_ns = False, 0
        self.changed = trio.Event()

    def change(self, entry):
        """Applies the new state of one host, whose status is active, leaving or left."""
        self.index += 1
        if entry["status"] == "left":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def changes_since(self, index):
        """Returns (index, snapshot, entries) for a client that has version `index`.

        An unknown version gets the whole list, with `snapshot` true.
        """
        if index is None or index > self.index or index < 1:
            return self.index, True, list(self.entries.values())
        newest = {entry["name"]: entry for number, entry in self.changes if number > index}
        return self.index, False, list(newest.values())


class Platform:
    """Serves the directory and accepts notices, on one listener for each relay."""

    def __init__(self, directory, addresses, clock, record, on_notice):
        """`addresses`: {host name: [address for each relay]}; `on_notice`: called for each notice."""
        self.directory, self.addresses, self.clock, self.record, self.on_notice = (
            directory,
            addresses,
            clock,
            record,
            on_notice,
        )
        self.notices_down = False
        self.unanswered_share = 0.0  # of the notice calls; the notices of half of those are accepted
        self.draw = random.Random(0)
        self.service_time_ns = 0  # service time in nanoseconds of each new call; calls are served one by one
        self.busy_until = 0
        self.answered_at = {}  # relay -> time of the latest answer to it
        self.silences = 0  # incremented to leave the calls in progress unanswered
        self.listeners, self.connections = {}, {}

    async def listen(self, relay, nursery):
        """Opens a listener for a relay and returns its address."""
        listener = trio.socket.socket()
        await listener.bind((f"127.19.{relay}.1", 0))
        listener.listen(64)
        self.listeners[relay] = listener
        self.connections[listener] = set()
        nursery.start_soon(self.accept, nursery, listener, relay)
        return listener.getsockname()

    async def move(self, relay, nursery):
        """Moves the platform to a new address for this relay and returns it.

        The old listener closes at once, the connections to it after a grace period.
        """
        old = self.listeners[relay]
        address = await self.listen(relay, nursery)
        old.close()
        nursery.start_soon(self.abort_after_grace, old)
        return address

    async def abort_after_grace(self, old):
        await trio.sleep(OLD_ADDRESS_GRACE_S)
        self.abort_all(old)

    def close_listener(self, relay):
        """Closes the relay's listener and resets all connections to it."""
        listener = self.listeners.pop(relay)
        listener.close()
        self.abort_all(listener)

    def abort_all(self, listener):
        """Resets all connections accepted by a listener."""
        for sock in list(self.connections[listener]):
            abort(sock)

    async def accept(self, nursery, listener, relay):
        """Accepts connections until the listener is closed."""
        try:
            while True:
                sock, _ = await listener.accept()
                nursery.start_soon(self.connection, listener, sock, relay)
        except (OSError, trio.ClosedResourceError):
            return

    async def connection(self, listener, sock, relay):
        """Answers the requests of one connection, one after another."""
        self.connections[listener].add(sock)
        stream, parser = trio.SocketStream(sock), ServerConnection(HEAD, BODY)
        try:
            while True:
                request = parser.next()
                if request is None:
                    parser.feed(await stream.receive_some(BODY))
                    continue
                await stream.send_all(self.encode_answer(parser, await self.answer(request, relay)))
                if parser.is_closed:
                    return
        except (*CONNECTION_ERRORS, ProtocolError, EOFError):
            pass
        finally:
            self.connections[listener].discard(sock)
            sock.close()

    def encode_answer(self, parser, answer):
        """Returns the bytes of an answer (status, headers, body)."""
        return parser.answer(*answer)

    async def answer(self, request, relay):
        """Handles one request and returns (status, headers, body)."""
        if request.method == "POST" and request.target == "/v1/notices":
            if self.draw.random() < self.unanswered_share:
                if self.draw.random() < ACCEPTED_UNANSWERED_SHARE:
                    self.accept_notices(bytes(request.body), relay)
                await trio.sleep_forever()
            return self.accept_notices(bytes(request.body), relay)
        if request.method == "GET" and request.target.startswith("/v1/endpoints"):
            return await self.watch(request.target, relay)
        return 404, (), b""

    def accept_notices(self, body, relay):
        """Records the notices of one call, all or none of them, and returns the answer."""
        if self.notices_down:
            return 503, (), b""
        try:
            notices = [orjson.loads(line) for line in body.splitlines() if line]
            rows = [
                (str(line["id"]), str(line["state"]), int(line.get("after_ms", 0)) * 1_000_000)
                for line in notices
            ]
        except (ValueError, KeyError, TypeError):
            return 400, (), b""
        for name, state, after in rows:
            self.record("notice", self.clock(), id=name, state=state, after=after)
            self.on_notice(name, state, after)
        return 204, (), b""

    async def watch(self, target, relay):
        """Answers a call for the endpoint list, held open as a long poll until the list changes."""
        index_asked, wait = re.search(r"index=(\d+)", target), re.search(r"wait=(\d+)", target)
        self.record("asked", self.clock(), relay=f"n{relay}")
        directory, known = self.directory, int(index_asked[1]) if index_asked else None
        silences = self.silences
        if not await self.wait_for_turn(relay):
            return 503, (), b""
        with trio.move_on_after(min(int(wait[1]) if wait else 0, MAX_WATCH_MS) / 1000 if known else 0):
            while known and directory.index <= known and not directory.down:
                await directory.changed.wait()
        if directory.delay_ns:
            await trio.sleep(directory.delay_ns / 1e9)
        if silences != self.silences:
            await trio.sleep_forever()
        if directory.down:
            return 503, (), b""
        self.answered_at[relay] = self.clock()
        index, is_snapshot, entries = directory.changes_since(known)
        answer = {
            "index": index,
            "snapshot": is_snapshot,
            "endpoints": [self.entry_for_relay(entry, relay) for entry in entries],
        }
        for entry in entries:
            self.record("told", self.clock(), relay=f"n{relay}", host=entry["name"], status=entry["status"])
        return 200, (), orjson.dumps(answer)

    async def wait_for_turn(self, relay):
        """Waits until a crowded directory serves this call; returns False if that would take too long.

        A call that continues a watch is served at once.
        """
        now = self.clock()
        continues = now - self.answered_at.get(relay, -CONTINUES_WITHIN_NS) < CONTINUES_WITHIN_NS
        if not self.service_time_ns or continues:
            return True
        done_at = max(now, self.busy_until) + self.service_time_ns
        if done_at > now + MAX_TURN_WAIT_NS:
            return False
        self.busy_until = done_at
        await trio.sleep((done_at - now) / 1e9)
        return True

    def drop_pending_watches(self):
        """Leaves the calls in progress unanswered for ever; later calls are answered."""
        self.silences += 1

    def entry_for_relay(self, entry, relay):
        """Returns the entry as sent to a relay: with the host's address for it, without the host's name."""
        ip, port = self.addresses[entry["host"]][relay]
        return {name: value for name, value in entry.items() if name != "host"} | {"address": f"{ip}:{port}"}

    def set_down(self, down):
        """Makes the directory fail or work again, and wakes all long polls."""
        self.directory.down = down
        changed, self.directory.changed = self.directory.changed, trio.Event()
        changed.set()


def endpoint_entries(destinations):
    """Returns the initial list. `host` is the emulator's own name of the host and is not sent."""
    return [endpoint_entry(destination, host) for destination in destinations for host in destination.hosts]


def endpoint_entry(destination, host, status="active", name=None, since=0):
    """Returns one entry of the list; `since` in milliseconds."""
    return {
        "name": name or host.name,
        "host": host.name,
        "zone": host.area,
        "type": destination.form.kind,
        "group": destination.number,
        "status": status,
        "weight": 1.0,
        "since_ms": since,
    }
