"""A town played by hand: hosts answer call by call as a `plan` says, the platform as it is told.

For tests, and for trying things out: the town's own hosts and directory (`hosts`, `platform`), on
a trio loop in a thread of its own, steered from the one that made it. A plan is told each call as a map
(id, key, host, body, port, n, at) and returns (status, headers), the same with a body, "hang", "drop", or
bytes to be sent as is.
"""

import threading
import time

import trio

from courseroute.checked import made
from courseroute.town.hosts import Hosts
from courseroute.town.platform import Directory, Platform, entry_of
from courseroute.town.script import Day, HostPlace, Partner, Place

DAY = {
    "partners": {"d": {"connections": 4096, "idle_close": "60s"}},
    "traffic": {"lanes": {"x": 1.0}},
    "lanes": {"x": {"deadline": "8s"}},
}
HANG = 20 * 10**9
SPOILT = {"half": b"", "noise": b"\0noise\0\0\0"}  # what comes in place of an answer's last nine bytes


class PlannedHosts(Hosts):
    def __init__(self, town, places):
        super().__init__(made(DAY, Day), places, time.monotonic_ns, town.tell)
        self.town = town

    async def call(self, partner, endpoint, sock, stream, parser, request, began, fresh):
        call = {
            "id": request.headers.get("x-request-id"),
            "host": endpoint.host.name,
            "at": time.time(),
            "key": request.headers.get("idempotency-key"),
            "body": bytes(request.body),
            "n": len(self.town.calls),
            "port": sock.getpeername()[1],
        }
        self.town.calls.append(call)
        plan = await trio.to_thread.run_sync(self.town.plan, call, limiter=self.town.planning)
        if plan == "hang":
            with trio.move_on_after(HANG / 1e9):
                await self.stays_connected(sock, None)
        elif isinstance(plan, bytes):
            try:
                await stream.send_all(plan)
                await self.stays_connected(sock, None)
            finally:  # the relay may end it while it is being written
                call["closed"] = True
        elif plan == "drop":
            sock.shutdown(trio.socket.SHUT_RDWR)
        else:
            status, headers, *body = plan
            await stream.send_all(parser.answer(status, list(headers.items()), *body))
            return not parser.over
        return False


class PlannedPlatform(Platform):
    """Says `status` to all while that is set; tells what it was asked, and at which of its addresses."""

    def __init__(self, town, directory, places):
        super().__init__(directory, places, time.monotonic_ns, town.tell, town.notice)
        self.town = town

    async def answer(self, request, relay):
        if request.method == "GET":
            self.town.watches.append((time.time(), request.target, relay))
            plan = self.town.discovery_plan(len(self.town.watches) - 1)
            if plan == "silent":
                await trio.sleep_forever()
            if plan in SPOILT:
                return plan, *await super().answer(request, relay)
            if plan is not None:
                return plan, (), b""
        if self.town.platform_status:
            return self.town.platform_status, (), b""
        if request.method == "POST":
            self.town.posts.append(relay)
        return await super().answer(request, relay)

    def written(self, door, answer):
        if answer[0] not in SPOILT:
            return super().written(door, answer)
        how, *whole = answer
        return super().written(door, whole)[:-9] + SPOILT[how]


class Everywhere(list):
    """The same address, whoever asks."""

    def __getitem__(self, _):
        return super().__getitem__(0)


class ScriptedTown:
    """One destination, number 7, with the hosts named, and a platform; `close` ends it."""

    def __init__(self, hosts=("h1", "h2")):
        self.calls, self.notices, self.watches, self.posts, self.rows = [], [], [], [], []
        self.plan, self.platform_status = lambda call: (200, {}), None
        self.discovery_plan = (
            lambda n: None
        )  # n-th call for the list: None, "silent", "half", "noise" or a status
        self.place = Place(7, "d", Partner(), tuple(HostPlace(name, i, "z") for i, name in enumerate(hosts)))
        self.up, self.moves = threading.Event(), 0
        self.thread = threading.Thread(target=trio.run, args=(self.run,), daemon=True)
        self.thread.start()
        self.up.wait()

    async def run(self):
        self.token, self.ended = trio.lowlevel.current_trio_token(), trio.Event()
        self.planning = trio.CapacityLimiter(200)
        async with trio.open_nursery() as self.nursery:
            hosts = PlannedHosts(self, [self.place])
            self.where = {name: Everywhere(found) for name, found in (await hosts.open()).items()}
            await hosts.serve(self.nursery)
            self.directory = Directory([self.entry(host) for host in self.place.hosts])
            self.platform = PlannedPlatform(self, self.directory, self.where)
            self.discovery = await self.platform.listen(0, self.nursery)
            self.up.set()
            await self.ended.wait()
            self.nursery.cancel_scope.cancel()

    def tell(self, what, at, **row):
        self.rows.append({"at": at, "what": what, **row})

    def notice(self, name, state, after):
        self.notices.append({"id": name, "state": state} | ({"after_ms": after // 10**6} if after else {}))

    def entry(self, host, status="active"):
        return entry_of(self.place, host, status) | {"type": "k"}

    def entries(self):
        """The list as the protocol has it."""
        return [self.platform.entry(self.entry(host), 0) for host in self.place.hosts]

    def steer(self, what, *told):
        """Runs something on the town's own thread."""
        return trio.from_thread.run_sync(what, *told, trio_token=self.token)

    def change(self, name, status):
        """The directory's list changes: active, leaving or left."""
        host = next(host for host in self.place.hosts if host.name == name)
        self.steer(self.directory.change, self.entry(host, status))

    def move_platform(self, how):
        """Another address for it all; the old one goes on (`serves`) or is closed at once (`gone`)."""
        old, self.moves = self.moves, self.moves + 1
        self.discovery = trio.from_thread.run(
            self.platform.listen, self.moves, self.nursery, trio_token=self.token
        )
        if how == "gone":
            self.steer(self.platform.end, old)

    def close(self):
        self.steer(self.ended.set)
        self.thread.join(5)
