"""Emulated destination hosts on loopback sockets. Each relay reaches each host at a separate address.

Each worker process (`worker`) runs one `Hosts`. `destination.DestinationModel` decides how a host handles a
call; this module performs it on the sockets and records it in the ledger. A host that refusing connections
closes its listeners; a silent one stops reading.
"""

import contextlib
import errno
import socket
import struct

import numpy as np
import trio

from courseroute.checked import span
from courseroute.emulator.destination import DestinationModel
from courseroute.emulator.scenario import S
from courseroute.wire.clients import peer_closed
from courseroute.wire.http import ProtocolError, ServerConnection

HEAD, BODY = 16 << 10, 64 << 10
MALFORMED_RESPONSES = (
    b"\0\1noise",
    b"HTTP/1.1 503 Full\r\nno colon\r\n\r\n",
    b"HTTP/1.1 500 No\r\nX-Endless: " + b"x" * 40000,
    b"HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 40000,
    b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx",
)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# SO_LINGER with a timeout of 0: close() sends a reset instead of an orderly shutdown.
LINGER_ZERO = struct.pack("ii", 1, 0)
LEFT_HOST_GRACE_NS = 8 * S  # a host that left still serves calls in flight for this long


def abort(sock):
    """Closes the connection with a TCP reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    except OSError:
        pass
    sock.close()


class HostEndpoint:
    """The listener through which one relay reaches one host."""

    def __init__(self, host, relay, number):
        self.host, self.relay = host, relay
        self.address = (f"127.{20 + relay}.{number % 250}.{host.spec.index + 1}", 0)
        self.listener = None
        self.scope = trio.CancelScope()

    async def bind(self):
        """Opens the listener; binds the same port again after a close."""
        self.listener = trio.socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await self.listener.bind(self.address)
        self.address = self.listener.getsockname()
        self.listener.listen(512)


class Hosts:
    """All hosts of one worker process, with their listeners, connections and faults."""

    def __init__(self, day, destinations, clock, record):
        self.day, self.clock, self.record = day, clock, record
        self.partners, self.endpoints, self.calls = [], [], 0
        for destination in destinations:
            draw = np.random.default_rng([day.seed, 2, destination.number])
            partner = DestinationModel(destination, day.rules, draw)
            self.partners.append(partner)
            for host in partner.hosts.values():
                host.open, host.sockets, host.refusing, host.accepting_again = 0, {}, False, trio.Event()
                self.endpoints += [
                    (partner, HostEndpoint(host, relay, destination.number))
                    for relay in range(day.relays.count)
                ]

    async def bind_all(self):
        """Binds all listeners. Returns {host name: [[ip, port] for each relay]}."""
        found = {}
        for _, endpoint in self.endpoints:
            await endpoint.bind()
            found.setdefault(endpoint.host.name, []).append(list(endpoint.address))
        return found

    async def serve(self, nursery):
        self.nursery = nursery
        for partner, endpoint in self.endpoints:
            nursery.start_soon(self.accept, nursery, partner, endpoint)

    async def accept(self, nursery, partner, endpoint):
        while True:
            while endpoint.host.refusing:
                await endpoint.host.accepting_again.wait()
            if endpoint.listener is None:
                await endpoint.bind()
            try:
                with trio.CancelScope() as endpoint.scope:
                    while True:
                        sock, _ = await endpoint.listener.accept()
                        nursery.start_soon(self.connection, partner, endpoint, sock)
            except OSError as cause:
                if cause.errno not in (errno.EBADF, errno.EMFILE, errno.ENFILE):
                    raise
                await trio.sleep(0.05)
            except trio.ClosedResourceError:
                pass

    async def connection(self, partner, endpoint, sock):
        host = endpoint.host
        if host.open >= partner.form.connections:
            return abort(sock)
        host.open += 1
        host.sockets[sock] = None
        try:
            await self.serve_connection(partner, endpoint, sock)
        except (*CONNECTION_ERRORS, ProtocolError, EOFError):
            pass
        finally:
            host.open -= 1
            host.sockets.pop(sock, None)
            sock.close()

    async def serve_connection(self, partner, endpoint, sock):
        stream, parser, began, fresh = trio.SocketStream(sock), ServerConnection(HEAD, BODY), None, True
        host, idle = endpoint.host, span(partner.form.idle_close) / 1e9
        while True:
            request = parser.next()
            if request is None:
                with trio.move_on_after(idle if began is None else 1e9) as scope:
                    data = await stream.receive_some(BODY)
                if scope.cancelled_caught:
                    return
                began = began or self.clock()
                if data and partner.active_fault(host, "silent"):
                    partner.record_failure(endpoint.relay)
                    return await self.hold_unread(sock)
                if data and partner.draw_fault(host, "reset-before"):
                    partner.record_failure(endpoint.relay)
                    return abort(sock)
                parser.feed(data)
                continue
            if not await self.call(partner, endpoint, sock, stream, parser, request, began, fresh):
                return
            began, fresh = None, False

    async def call(self, partner, endpoint, sock, stream, parser, request, began, fresh):
        """Handles one complete call. Returns whether the connection stays open."""
        self.calls += 1
        host, relay, c = endpoint.host, f"n{endpoint.relay}", f"{partner.destination.number}.{self.calls}"
        now, mark = self.clock(), request.headers.get("idempotency-key", "")
        body, name = bytes(request.body), request.headers.get("x-request-id", "")
        host.sockets[sock] = c
        self.record(
            "call",
            now,
            c=c,
            id=name,
            relay=relay,
            host=host.name,
            name=host.current_name,
            mark=mark,
            dst=partner.destination.number,
            began=began,
            same=body == body_of(mark, len(body)),
        )
        if partner.overloaded_until and now >= partner.overloaded_until:
            partner.recover(now)
        outcome = partner.arrive(now, host.name, endpoint.relay, mark)
        if outcome.cause == "fell over":
            load, known = partner.record_overload()
            self.record("fell", now, dst=partner.destination.name, load=load, known=known)
        after = outcome.after + (span(partner.form.handshake) if fresh else 0)
        due = now + after
        connected = await self.stays_connected(
            sock, None if outcome.failure == "silent" and not outcome.ran else after
        )
        if not connected:
            self.record("broke", self.clock(), c=c, by="relay")
            await trio.sleep(max(0, due - self.clock()) / 1e9)
        if outcome.ran:  # also if the caller has disconnected: the host has received the call
            self.record("ran", self.clock(), c=c, id=name, mark=mark, host=host.name)
        if not connected:
            return False
        if outcome.failure:
            return await self.fail_call(sock, stream, outcome, c)
        headers = [("Wait-Ms", str(-(-outcome.wait // 1_000_000)))] if outcome.wait else []
        if report := partner.load_report(self.clock()):
            headers.append(("X-Load", f"T x0={report[0]}, x1={report[1]}"))
        self.record(
            "reply",
            self.clock(),
            c=c,
            status=outcome.status,
            wait=outcome.wait,
            relay=relay,
            dst=partner.destination.number,
            name=host.current_name,
            cause=outcome.cause,
        )
        host.sockets[sock] = None
        answer = parser.answer(outcome.status, headers, c.encode() if outcome.status == 200 else b"")
        await stream.send_all(answer)
        if copied := partner.draw_fault(host, "answer-copied"):
            self.nursery.start_soon(self.copy_answer, sock, answer, c, span(copied.fault.by))
        return not parser.is_closed

    async def copy_answer(self, sock, answer, c, after):
        """Sends the response a second time after `after` nanoseconds, whatever the connection waits for."""
        await trio.sleep(after / 1e9)
        with contextlib.suppress(*CONNECTION_ERRORS):
            await sock.send(answer)
            self.record("copied", self.clock(), c=c)

    async def fail_call(self, sock, stream, outcome, c):
        """Ends a call without a valid response: malformed bytes, silence or a reset."""
        if outcome.failure == "spoilt":
            malformed = MALFORMED_RESPONSES[self.calls % len(MALFORMED_RESPONSES)]
            with trio.move_on_after(1):
                await stream.send_all(malformed)
        if outcome.failure != "reset":
            await self.stays_connected(sock, None)
        self.record("broke", self.clock(), c=c, by="host" if outcome.failure == "reset" else "relay")
        abort(sock)
        return False

    async def stays_connected(self, sock, ns):
        """Waits `ns` nanoseconds (None: no limit). Returns False as soon as the relay closes the connection.

        A relay sends one call at a time, so readable input means that the connection was closed. Raises
        ClosedResourceError if a fault has reset the connection meanwhile.
        """
        if sock.fileno() < 0:
            raise trio.ClosedResourceError
        with trio.move_on_after(1e9 if ns is None else ns / 1e9):
            await trio.lowlevel.wait_readable(sock)
            return False
        return True

    async def hold_unread(self, sock):
        """Leaves the connection unread until the relay closes it or the end of the fault resets it."""
        while sock.fileno() >= 0 and not peer_closed(sock):
            await trio.sleep(0.1)

    # Faults.

    async def run_fault(self, number, scheduled, start):
        """Runs one scheduled fault on the hosts of this worker, from begin to end."""
        affected = [
            (partner, host)
            for partner in self.partners
            for host in partner.hosts.values()
            if host.name in scheduled.targets or partner.destination.name in scheduled.targets
        ]
        if not affected:
            return
        await self.sleep_until(start + scheduled.begin)
        for partner in {id(partner): partner for partner, _ in affected}.values():
            partner.begin(self.clock(), number, scheduled)
        for _, host in affected:
            self.begin_fault(host, scheduled)
        if scheduled.kind == "leave":
            await self.sleep_until(start + scheduled.begin + LEFT_HOST_GRACE_NS)
            for _, host in affected:
                host.gone = True
        if scheduled.end > scheduled.begin:
            await self.sleep_until(start + scheduled.end)
            for partner in {id(partner): partner for partner, _ in affected}.values():
                partner.finish(self.clock(), number)
            for _, host in affected:
                self.end_fault(host, scheduled)

    def begin_fault(self, host, scheduled):
        if scheduled.kind == "refuse":
            host.refusing = True
            for _, endpoint in self.endpoints:
                if endpoint.host is host:
                    endpoint.scope.cancel()
                    if endpoint.listener is not None:
                        endpoint.listener.close()
                        endpoint.listener = None
            self.reset_connections(host)
        elif scheduled.kind == "replace":
            host.current_name = f"{host.name}+{int(scheduled.begin)}"
            self.reset_connections(host)

    def end_fault(self, host, scheduled):
        if scheduled.kind == "refuse":
            host.refusing = False
            host.accepting_again.set()
            host.accepting_again = trio.Event()
        elif scheduled.kind in ("silent", "hang"):
            self.reset_connections(host)

    def reset_connections(self, host):
        for sock, c in list(host.sockets.items()):
            if c is not None:
                self.record("broke", self.clock(), c=c, by="host")
                host.sockets[sock] = None
            abort(sock)

    async def sleep_until(self, at):
        await trio.sleep(max(0, at - self.clock()) / 1e9)


def body_of(mark, size):
    """The body of a message with this idempotency key; the host recomputes it to check the body received."""
    text = mark.encode() or b"-"
    return (text * (size // len(text) + 1))[:size]
