"""A null relay: accepts each message, sends it once without delay and stores nothing.

It serves to measure the load that the emulator itself can generate:

    courseroute town run FILE --relay "python -m courseroute.emulator.null_relay"

It is not a relay for use: it makes no decisions and guarantees nothing. Relays that are faulty in one way
each, on which the emulator's judge is tested, are built on it (tests/wrong_relay.py).
"""

import os
import signal

import orjson
import trio

from courseroute.checked import made, read
from courseroute.emulator.hosts import BODY, HEAD
from courseroute.run.setup import Setup
from courseroute.wire.connection import CONNECTION_ERRORS, Connection, PersistentConnection
from courseroute.wire.http import ProtocolError, ServerConnection
from courseroute.wire.protocol import parse_address, parse_endpoint_list, parse_message

TIMEOUT_NS = 1_000_000_000  # of a call with notices; a call for the list gets 30 times that


class NullRelay:
    """Accepts messages and forwards each to one host of its destination."""

    def __init__(self, setup):
        self.setup, self.hosts, self.idle = setup, {}, {}  # hosts: destination -> {name: address}
        self.lanes, self.status = setup.lanes, {}

    async def run(self):
        """Serves until SIGTERM."""
        self.directory = PersistentConnection(parse_address(self.setup.directory), HEAD, 4 << 20)
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(parse_address(self.setup.listen))
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
        self.index, _, entries, addresses = parse_endpoint_list(orjson.loads(body), False)
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
            except (*CONNECTION_ERRORS, ProtocolError, ValueError):
                await trio.sleep(0.2)

    async def accept(self, listener):
        while True:
            sock, _ = await listener.accept()
            self.nursery.start_soon(self.client, sock)

    async def client(self, sock):
        stream, parser = trio.SocketStream(sock), ServerConnection(HEAD, BODY)
        try:
            while True:
                if (request := parser.next()) is None:
                    parser.feed(await stream.receive_some(BODY))
                    continue
                await stream.send_all(parser.answer(*await self.answer(request)))
                if parser.is_closed:
                    return
        except (*CONNECTION_ERRORS, ProtocolError, EOFError):
            pass
        finally:
            sock.close()

    async def answer(self, request):
        """Handles one request and returns (status, headers, body)."""
        if request.target == "/ready":
            return 200, (), b""
        message = parse_message(request, self.lanes, 256)
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
        connection = idle.pop() if idle else None
        try:
            if connection is None:
                connection = await Connection(HEAD, BODY).connect(address)
            head = [
                ("Host", "origin"),
                ("X-Request-Id", message["name"]),
                ("X-Deadline", "3000m"),
                ("Idempotency-Key", message["mark"]),
            ]
            with trio.move_on_after(3):
                await connection.send("POST", "/hook", head, message["body"])
                await connection.receive_all()
                status, headers = connection.call.status, connection.call.headers
                if connection.call.reusable():
                    idle.append(connection)
                    connection = None
                return status, headers
        except (*CONNECTION_ERRORS, ProtocolError):
            pass
        finally:
            if connection is not None:
                connection.close()
        return 0, {}

    async def notice(self, message, state, after=0):
        """Sends one notice to the platform; `after` in milliseconds."""
        line = orjson.dumps({"id": message["name"], "state": state, "after_ms": after}) + b"\n"
        await PersistentConnection(self.directory.address, HEAD, BODY).exchange(
            TIMEOUT_NS, "POST", "/v1/notices", [("Host", "p")], line
        )


def main(kind=NullRelay):
    """Runs a relay of this class with the configuration that ROUTER_CONFIG names."""
    setup = made(read(os.environ["ROUTER_CONFIG"]), Setup)
    trio.run(kind(setup).run)


if __name__ == "__main__":
    main()
