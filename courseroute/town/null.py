"""A null relay: takes each message, sends it once, at once, and keeps nothing. For measuring the town itself.

    courseroute town run FILE --relay "python -m courseroute.town.null"

It is no relay for use: it decides nothing and owes nothing. The town's judge is tried on relays that are
wrong in one way each (tests/wrong_relay.py), which are built on it.
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

WAIT = 1_000_000_000


class NullRelay:
    def __init__(self, setup):
        self.setup, self.hosts, self.idle = setup, {}, {}  # hosts: destination -> [(name, place)]
        self.lanes, self.status = setup.lanes, {}

    async def run(self):
        self.directory = Line(place_of(self.setup.directory), HEAD, 4 << 20)
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(place_of(self.setup.listen))
        async with trio.open_nursery() as self.nursery:
            self.index = None
            await self.learn()
            self.nursery.start_soon(self.watch)
            listener.listen(512)
            self.nursery.start_soon(self.accept, listener)
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    break
            self.nursery.cancel_scope.cancel()

    async def learn(self):
        ask = f"?index={self.index}&wait=2000" if self.index else ""
        _, body = await self.directory.exchange(30 * WAIT, "GET", f"/v1/endpoints{ask}", [("Host", "d")])
        self.index, _, entries, where = roster_of(orjson.loads(body), False)
        for name, state, _, _, _, dst in entries:
            self.status[name] = state
            hosts = self.hosts.setdefault(dst, {})
            hosts.pop(name, None)
            if self.usable(state):
                hosts[name] = where[name]

    def usable(self, state):
        return state == "ready"

    async def watch(self):
        while True:
            try:
                await self.learn()
            except (*LOST, Refused, ValueError):
                await trio.sleep(0.2)

    async def accept(self, listener):
        while True:
            sock, _ = await listener.accept()
            self.nursery.start_soon(self.client, sock)

    async def client(self, sock):
        stream, door = trio.SocketStream(sock), Door(HEAD, BODY)
        try:
            while True:
                if (request := door.next()) is None:
                    door.feed(await stream.receive_some(BODY))
                    continue
                await stream.send_all(door.answer(*await self.answer(request)))
                if door.over:
                    return
        except (*LOST, Refused, EOFError):
            pass
        finally:
            sock.close()

    async def answer(self, request):
        if request.target == "/ready":
            return 200, (), b""
        told = notice_of(request, self.lanes, 256)
        told["body"] = bytes(told["body"])
        return await self.take(told), (), b""

    async def take(self, told):
        """The answer's status; the message goes on its way."""
        self.nursery.start_soon(self.deliver, told)
        return 202

    async def deliver(self, told):
        hosts = list(self.hosts.get(told["dst"], {}).values())
        if hosts:
            await self.call(told, hosts[hash(told["name"]) % len(hosts)])

    async def call(self, told, place):
        """(status, headers) of the host's answer; (0, {}) where none came."""
        kept = self.idle.setdefault(place, [])
        link = kept.pop() if kept else None
        try:
            if link is None:
                link = await Link(HEAD, BODY).dial(place)
            head = [
                ("Host", "origin"),
                ("X-Request-Id", told["name"]),
                ("X-Deadline", "3000m"),
                ("Idempotency-Key", told["mark"]),
            ]
            with trio.move_on_after(3):
                await link.send("POST", "/hook", head, told["body"])
                await link.hear_all()
                status, headers = link.call.status, link.call.headers
                if link.call.reusable():
                    kept.append(link)
                    link = None
                return status, headers
        except (*LOST, Refused):
            pass
        finally:
            if link is not None:
                link.close()
        return 0, {}

    async def notice(self, told, state, after=0):
        line = orjson.dumps({"id": told["name"], "state": state, "after_ms": after}) + b"\n"
        await Line(self.directory.place, HEAD, BODY).exchange(
            WAIT, "POST", "/v1/notices", [("Host", "p")], line
        )


def main(kind=NullRelay):
    setup = made(read(os.environ["ROUTER_CONFIG"]), Setup)
    trio.run(kind(setup).run)


if __name__ == "__main__":
    main()
