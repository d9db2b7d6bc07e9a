"""A null relay: accepts each message, sends it once without delay and stores nothing.

It serves to measure the load that the emulator itself can generate:

    courseroute town run FILE --relay "python -m courseroute.town.null"

It is not a relay for use: it makes no decisions and guarantees nothing. Relays that are faulty in one way
each, on which the emulator's judge is tested, are built on it (tests/wrong_relay.py).
"""

import os
import signal

import orjson
import trio

from courseroute.checked import made, read
from courseroute.run.setup import Setup
from courseroute.town.hosts import BODY, HEAD
from courseroute.wire.http import Door, Refused
from courseroute.wire.link import LOST, Line, Link
from courseroute.wire.words import notice_of, place_of, roster_of

TIMEOUT_NS = 1_000_000_000  # of a call with notices; a call for the list gets 30 times that


class NullRelay:
    """Accepts messages and forwards each to one host of its destination."""

    def __init__(self, setup):
        self.setup, self.hosts, self.idle = setup, {}, {}  # hosts: destination -> {name: address}
        self.lanes, self.status = setup.lanes, {}

    async def run(self):
        """Serves until SIGTERM."""
        self.directory = Line(place_of(self.setup.directory), HEAD, 4 << 20)
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(place_of(self.setup.listen))
        async with trio.open_nursery() as self.nursery:
            self.index = None
            await self.refresh_endpoints()
            self.nursery.start_soon(self.watch)
            listener.listen(512)
            self.nursery.start_soon(self.accept, listener)
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    break
            self.nursery.cancel_scope.cancel()

    async def refresh_endpoints(self):
        """Requests the endpoint list, as a long poll after the first time, and applies it."""
        query = f"?index={self.index}&wait=2000" if self.index else ""
        _, body = await self.directory.exchange(
            30 * TIMEOUT_NS, "GET", f"/v1/endpoints{query}", [("Host", "d")]
        )
        self.index, _, entries, addresses = roster_of(orjson.loads(body), False)
        for name, state, _, _, _, dst in entries:
            self.status[name] = state
            hosts = self.hosts.setdefault(dst, {})
            hosts.pop(name, None)
            if self.usable(state):
                hosts[name] = addresses[name]

    def usable(self, state):
        """Whether hosts in this state get calls."""
        return state == "ready"

    async def watch(self):
        """Keeps the endpoint list up to date."""
        while True:
            try:
                await self.refresh_endpoints()
            except (*LOST, Refused, ValueError):
                await trio.sleep(0.2)

    async def accept(self, listener):
        while True:
            sock, _ = await listener.accept()
            self.nursery.start_soon(self.client, sock)

    async def client(self, sock):
        stream, parser = trio.SocketStream(sock), Door(HEAD, BODY)
        try:
            while True:
                if (request := parser.next()) is None:
                    parser.feed(await stream.receive_some(BODY))
                    continue
                await stream.send_all(parser.answer(*await self.answer(request)))
                if parser.over:
                    return
        except (*LOST, Refused, EOFError):
            pass
        finally:
            sock.close()

    async def answer(self, request):
        """Handles one request and returns (status, headers, body)."""
        if request.target == "/ready":
            return 200, (), b""
        message = notice_of(request, self.lanes, 256)
        message["body"] = bytes(message["body"])
        return await self.accept_message(message), (), b""

    async def accept_message(self, message):
        """Starts the delivery and returns the status of the answer."""
        self.nursery.start_soon(self.deliver, message)
        return 202

    async def deliver(self, message):
        """Sends a message to one host of its destination, or drops it if there is none."""
        hosts = list(self.hosts.get(message["dst"], {}).values())
        if hosts:
            await self.call(message, hosts[hash(message["name"]) % len(hosts)])

    async def call(self, message, address):
        """Returns (status, headers) of the host's answer, or (0, {}) without one."""
        idle = self.idle.setdefault(address, [])
        link = idle.pop() if idle else None
        try:
            if link is None:
                link = await Link(HEAD, BODY).dial(address)
            head = [
                ("Host", "origin"),
                ("X-Request-Id", message["name"]),
                ("X-Deadline", "3000m"),
                ("Idempotency-Key", message["mark"]),
            ]
            with trio.move_on_after(3):
                await link.send("POST", "/hook", head, message["body"])
                await link.hear_all()
                status, headers = link.call.status, link.call.headers
                if link.call.reusable():
                    idle.append(link)
                    link = None
                return status, headers
        except (*LOST, Refused):
            pass
        finally:
            if link is not None:
                link.close()
        return 0, {}

    async def notice(self, message, state, after=0):
        """Sends one notice to the platform; `after` in milliseconds."""
        line = orjson.dumps({"id": message["name"], "state": state, "after_ms": after}) + b"\n"
        await Line(self.directory.place, HEAD, BODY).exchange(
            TIMEOUT_NS, "POST", "/v1/notices", [("Host", "p")], line
        )


def main(kind=NullRelay):
    """Runs a relay of this class with the configuration that ROUTER_CONFIG names."""
    setup = made(read(os.environ["ROUTER_CONFIG"]), Setup)
    trio.run(kind(setup).run)


if __name__ == "__main__":
    main()
