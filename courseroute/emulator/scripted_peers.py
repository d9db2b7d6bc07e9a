"""Hosts and a platform whose answers a test scripts: a plan decides the answer to each call.

For tests and experiments. The emulator's hosts and directory (`hosts`, `platform`) run on a trio loop in a
thread of their own and are controlled from the thread that made them. A plan is a function that gets each
call as a map (id, key, host, body, port, n, at) and returns (status, headers), (status, headers, body),
"hang", "drop", or the bytes to send.
"""

import threading
import time

import trio

from courseroute.checked import made
from courseroute.emulator.hosts import Hosts
from courseroute.emulator.platform import Directory, Platform, endpoint_entry
from courseroute.emulator.scenario import Day, Destination, HostSpec, Partner

DAY = {
    "partners": {"d": {"connections": 4096, "idle_close": "60s"}},
    "traffic": {"lanes": {"x": 1.0}},
    "lanes": {"x": {"deadline": "8s"}},
}
HANG = 20 * 10**9  # nanoseconds
MALFORMED = {"half": b"", "noise": b"\0noise\0\0\0"}  # replaces an answer's last nine bytes


class PlannedHosts(Hosts):
    """Hosts that answer each call as the plan says."""

    def __init__(self, peers, destinations):
        super().__init__(made(DAY, Day), destinations, time.monotonic_ns, peers.record)
        self.peers = peers

    async def call(self, partner, endpoint, sock, stream, parser, request, began, fresh):
        """Handles one complete call. Returns whether the connection stays open."""
        call = {
            "id": request.headers.get("x-request-id"),
            "host": endpoint.host.name,
            "at": time.time(),
            "key": request.headers.get("idempotency-key"),
            "body": bytes(request.body),
            "n": len(self.peers.calls),
            "port": sock.getpeername()[1],
        }
        self.peers.calls.append(call)
        plan = await trio.to_thread.run_sync(self.peers.plan, call, limiter=self.peers.planning)
        if plan == "hang":
            with trio.move_on_after(HANG / 1e9):
                await self.stays_connected(sock, None)
        elif isinstance(plan, bytes):
            try:
                await stream.send_all(plan)
                await self.stays_connected(sock, None)
            finally:  # the relay may close the connection during the write, which ends this task
                call["closed"] = True
        elif plan == "drop":
            sock.shutdown(trio.socket.SHUT_RDWR)
        else:
            status, headers, *body = plan
            await stream.send_all(parser.answer(status, list(headers.items()), *body))
            return not parser.is_closed
        return False


class PlannedPlatform(Platform):
    """A platform that records each call with the number of the address it came to.

    While `platform_status` of the town is set, it answers all calls with that status.
    """

    def __init__(self, peers, directory, addresses):
        super().__init__(directory, addresses, time.monotonic_ns, peers.record, peers.notice)
        self.peers = peers

    async def answer(self, request, relay):
        if request.method == "GET":
            self.peers.watches.append((time.time(), request.target, relay))
            plan = self.peers.discovery_plan(len(self.peers.watches) - 1)
            if plan == "silent":
                await trio.sleep_forever()
            if plan in MALFORMED:
                return plan, *await super().answer(request, relay)
            if plan is not None:
                return plan, (), b""
        if self.peers.platform_status:
            return self.peers.platform_status, (), b""
        if request.method == "POST":
            self.peers.posts.append(relay)
        return await super().answer(request, relay)

    def encode_answer(self, parser, answer):
        if answer[0] not in MALFORMED:
            return super().encode_answer(parser, answer)
        defect, *intact = answer
        return super().encode_answer(parser, intact)[:-9] + MALFORMED[defect]


class SameForAll(list):
    """A host's addresses with the same one for every relay, whatever its number."""

    def __getitem__(self, _):
        return super().__getitem__(0)


class ScriptedPeers:
    """One destination, number 7, with the hosts named, and a platform. Runs until `close`.

    Records all calls, notices and calls for the endpoint list in lists that a test may read at any time.
    """

    def __init__(self, hosts=("h1", "h2")):
        self.calls, self.notices, self.watches, self.posts, self.rows = [], [], [], [], []
        self.plan, self.platform_status = lambda call: (200, {}), None
        # For the n-th call for the endpoint list. None: as usual; or "silent", "half", "noise" or a status.
        self.discovery_plan = lambda n: None
        self.destination = Destination(
            7, "d", Partner(), tuple(HostSpec(name, i, "z") for i, name in enumerate(hosts))
        )
        self.up, self.moves = threading.Event(), 0
        self.thread = threading.Thread(target=trio.run, args=(self.run,), daemon=True)
        self.thread.start()
        self.up.wait()

    async def run(self):
        self.token, self.ended = trio.lowlevel.current_trio_token(), trio.Event()
        self.planning = trio.CapacityLimiter(200)
        async with trio.open_nursery() as self.nursery:
            hosts = PlannedHosts(self, [self.destination])
            self.where = {name: SameForAll(found) for name, found in (await hosts.bind_all()).items()}
            await hosts.serve(self.nursery)
            self.directory = Directory([self.entry(host) for host in self.destination.hosts])
            self.platform = PlannedPlatform(self, self.directory, self.where)
            self.discovery = await self.platform.listen(0, self.nursery)
            self.up.set()
            await self.ended.wait()
            self.nursery.cancel_scope.cancel()

    def record(self, what, at, **row):
        """Adds a row to the ledger; `at` in nanoseconds."""
        self.rows.append({"at": at, "what": what, **row})

    def notice(self, name, state, after):
        """Records an accepted notice; `after` in nanoseconds."""
        self.notices.append({"id": name, "state": state} | ({"after_ms": after // 10**6} if after else {}))

    def entry(self, host, status="active"):
        """Returns a host's entry as the directory keeps it."""
        return endpoint_entry(self.destination, host, status) | {"type": "k"}

    def entries(self):
        """Returns the initial list as it is sent to relays."""
        return [self.platform.entry_for_relay(self.entry(host), 0) for host in self.destination.hosts]

    def run_on_loop(self, function, *args):
        """Calls a function on the thread of the trio loop and returns its result."""
        return trio.from_thread.run_sync(function, *args, trio_token=self.token)

    def change(self, name, status):
        """Changes a host's status in the directory: active, leaving or left."""
        host = next(host for host in self.destination.hosts if host.name == name)
        self.run_on_loop(self.directory.change, self.entry(host, status))

    def move_host(self, name, to):
        """Lists a host at the address of another one."""
        self.where[name] = self.where[to]
        self.change(name, "active")

    def move_platform(self, how):
        """Opens another address for the platform; the old one goes on ("serves") or is closed ("gone")."""
        old, self.moves = self.moves, self.moves + 1
        self.discovery = trio.from_thread.run(
            self.platform.listen, self.moves, self.nursery, trio_token=self.token
        )
        if how == "gone":
            self.run_on_loop(self.platform.close_listener, old)

    def close(self):
        """Stops the loop and waits up to 5 s for its thread to end."""
        self.run_on_loop(self.ended.set)
        self.thread.join(5)
