"""The platform's side: the directory with its versions and watches, and the taking of notices.

Called by `play`. Each relay has a listener of its own, so that what each was told and asked is known.
"""

import random
import re

import orjson
import trio

from courseroute.town.hosts import BODY, HEAD, LOST, abort
from courseroute.wire.http import Door, Refused

S = 1_000_000_000
WATCH_MOST = 60_000
GOES_ON_WITHIN = 200_000_000  # nanoseconds behind an answer in which the next call continues its watch
TURN_WITHIN = 1_000_000_000  # a crowded directory turns a call away whose turn would be over later
OLD_STAYS = 1.5  # seconds that connections stay open at an address that was left
UNANSWERED_BUT_TAKEN = 0.5  # share of the calls without an answer whose notices count
STATUS = {"active": "active", "draining": "leaving", "gone": "left"}


class Directory:
    """The list and its versions; knows no socket. Entries are maps as the protocol has them."""

    def __init__(self, entries):
        self.entries = {entry["name"]: entry for entry in entries}
        self.index, self.log = 1, []  # (index, name, status, entry)
        self.down, self.late = False, 0
        self.news = trio.Event()

    def change(self, entry):
        """A new state of one host: active, leaving or left."""
        self.index += 1
        if entry["status"] == "left":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.log.append((self.index, entry))
        news, self.news = self.news, trio.Event()
        news.set()

    def since(self, index):
        """(index, snapshot, entries) for one who knows that version; the whole list where it is unknown."""
        if index is None or index > self.index or index < 1:
            return self.index, True, list(self.entries.values())
        newest = {entry["name"]: entry for number, entry in self.log if number > index}
        return self.index, False, list(newest.values())


class Platform:
    def __init__(self, directory, places, clock, tell, taken):
        """`places`: {host name: [address for each relay]}; `taken`: told each notice's line."""
        self.directory, self.places, self.clock, self.tell, self.taken = directory, places, clock, tell, taken
        self.notices_down = False
        self.unanswered_share = 0.0  # of the calls with notices: every second one of them is taken
        self.draw = random.Random(0)
        self.turn_takes = 0  # nanoseconds for each call anew, one after another
        self.busy_until = 0
        self.answered_at = {}  # relay -> when it was answered last
        self.silences = 0  # each leaves the calls under way without an answer
        self.listeners, self.socks = {}, {}

    async def listen(self, relay, nursery):
        """A listener for that relay's sake; its address."""
        listener = trio.socket.socket()
        await listener.bind((f"127.19.{relay}.1", 0))
        listener.listen(64)
        self.listeners[relay] = listener
        self.socks[listener] = set()
        nursery.start_soon(self.accept, nursery, listener, relay)
        return listener.getsockname()

    async def move(self, relay, nursery):
        """The directory is elsewhere from now on; what is open at the old address ends soon."""
        old = self.listeners[relay]
        place = await self.listen(relay, nursery)
        old.close()
        nursery.start_soon(self.leave, old)
        return place

    async def leave(self, old):
        await trio.sleep(OLD_STAYS)
        self.abort_all(old)

    def end(self, relay):
        """Closes the listener for that relay and all connections there."""
        listener = self.listeners.pop(relay)
        listener.close()
        self.abort_all(listener)

    def abort_all(self, listener):
        for sock in list(self.socks[listener]):
            abort(sock)

    async def accept(self, nursery, listener, relay):
        try:
            while True:
                sock, _ = await listener.accept()
                nursery.start_soon(self.connection, listener, sock, relay)
        except (OSError, trio.ClosedResourceError):
            return

    async def connection(self, listener, sock, relay):
        self.socks[listener].add(sock)
        stream, door = trio.SocketStream(sock), Door(HEAD, BODY)
        try:
            while True:
                request = door.next()
                if request is None:
                    door.feed(await stream.receive_some(BODY))
                    continue
                await stream.send_all(self.written(door, await self.answer(request, relay)))
                if door.over:
                    return
        except (*LOST, Refused, EOFError):
            pass
        finally:
            self.socks[listener].discard(sock)
            sock.close()

    def written(self, door, answer):
        """The bytes of an answer, (status, headers, body)."""
        return door.answer(*answer)

    async def answer(self, request, relay):
        if request.method == "POST" and request.target == "/v1/notices":
            if self.draw.random() < self.unanswered_share:
                if self.draw.random() < UNANSWERED_BUT_TAKEN:
                    self.take(bytes(request.body), relay)
                await trio.sleep_forever()
            return self.take(bytes(request.body), relay)
        if request.method == "GET" and request.target.startswith("/v1/endpoints"):
            return await self.watch(request.target, relay)
        return 404, (), b""

    def take(self, body, relay):
        if self.notices_down:
            return 503, (), b""
        try:
            told = [orjson.loads(line) for line in body.splitlines() if line]
            rows = [
                (str(line["id"]), str(line["state"]), int(line.get("after_ms", 0)) * 1_000_000)
                for line in told
            ]
        except (ValueError, KeyError, TypeError):
            return 400, (), b""
        for name, state, after in rows:
            self.tell("notice", self.clock(), id=name, state=state, after=after)
            self.taken(name, state, after)
        return 204, (), b""

    async def watch(self, target, relay):
        asked, wait = re.search(r"index=(\d+)", target), re.search(r"wait=(\d+)", target)
        self.tell("asked", self.clock(), relay=f"n{relay}")
        directory, known = self.directory, int(asked[1]) if asked else None
        silences = self.silences
        if not await self.take_turn(relay):
            return 503, (), b""
        with trio.move_on_after(min(int(wait[1]) if wait else 0, WATCH_MOST) / 1000 if known else 0):
            while known and directory.index <= known and not directory.down:
                await directory.news.wait()
        if directory.late:
            await trio.sleep(directory.late / 1e9)
        if silences != self.silences:
            await trio.sleep_forever()
        if directory.down:
            return 503, (), b""
        self.answered_at[relay] = self.clock()
        index, whole, entries = directory.since(known)
        told = {
            "index": index,
            "snapshot": whole,
            "endpoints": [self.entry(entry, relay) for entry in entries],
        }
        for entry in entries:
            self.tell("told", self.clock(), relay=f"n{relay}", host=entry["name"], status=entry["status"])
        return 200, (), orjson.dumps(told)

    async def take_turn(self, relay):
        """Waits for the turn of a call; False where that is too far off. One that goes on needs none."""
        now = self.clock()
        goes_on = now - self.answered_at.get(relay, -GOES_ON_WITHIN) < GOES_ON_WITHIN
        if not self.turn_takes or goes_on:
            return True
        over = max(now, self.busy_until) + self.turn_takes
        if over > now + TURN_WITHIN:
            return False
        self.busy_until = over
        await trio.sleep((over - now) / 1e9)
        return True

    def silence_watches(self):
        """Calls under way are never answered; those made from now on are."""
        self.silences += 1

    def entry(self, entry, relay):
        ip, port = self.places[entry["host"]][relay]
        return {name: value for name, value in entry.items() if name != "host"} | {"address": f"{ip}:{port}"}

    def set_down(self, down):
        self.directory.down = down
        news, self.directory.news = self.directory.news, trio.Event()
        news.set()


def entries_of(places):
    """The list as it stands at first; `host` is the town's own name of the machine, left out on the wire."""
    return [entry_of(place, host) for place in places for host in place.hosts]


def entry_of(place, host, status="active", name=None, since=0):
    return {
        "name": name or host.name,
        "host": host.name,
        "zone": host.area,
        "type": place.form.kind,
        "group": place.number,
        "status": status,
        "weight": 1.0,
        "since_ms": since,
    }
