"""The partners' hosts on sockets: each relay reaches each host at an address of its own.

Called by `quarter`, once a worker. What a host does with a call `partner.Partner` decides; here it is carried
out, and the ledger told. A host that refuses connections closes its listeners, a silent one reads nothing.
"""

import contextlib
import errno
import socket
import struct

import numpy as np
import trio

from courseroute.checked import span
from courseroute.town.partner import Partner
from courseroute.town.script import S
from courseroute.wire.clients import gone
from courseroute.wire.http import Door, Refused

HEAD, BODY = 16 << 10, 64 << 10
SPOILT = (
    b"\0\1noise",
    b"HTTP/1.1 503 Full\r\nno colon\r\n\r\n",
    b"HTTP/1.1 500 No\r\nX-Endless: " + b"x" * 40000,
    b"HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 40000,
    b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx",
)
LOST = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
LINGER = struct.pack("ii", 1, 0)
GONE_AFTER = 8 * S  # a host that left stands for so long, for calls on their way


def abort(sock):
    """Ends a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    except OSError:
        pass
    sock.close()


class Entrance:
    """One host as one relay reaches it."""

    def __init__(self, host, relay, number):
        self.host, self.relay = host, relay
        self.place = (f"127.{20 + relay}.{number % 250}.{host.place.index + 1}", 0)
        self.listener = None
        self.scope = trio.CancelScope()

    async def bind(self):
        self.listener = trio.socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await self.listener.bind(self.place)
        self.place = self.listener.getsockname()
        self.listener.listen(512)


class Hosts:
    def __init__(self, day, places, clock, tell):
        self.day, self.clock, self.tell = day, clock, tell
        self.partners, self.doors, self.calls = [], [], 0
        for place in places:
            draw = np.random.default_rng([day.seed, 2, place.number])
            partner = Partner(place, day.rules, draw)
            self.partners.append(partner)
            for host in partner.hosts.values():
                host.open, host.socks, host.refuses, host.wakes = 0, {}, False, trio.Event()
                self.doors += [
                    (partner, Entrance(host, relay, place.number)) for relay in range(day.relays.count)
                ]

    async def open(self):
        """{host: [address for each relay]}"""
        found = {}
        for _, door in self.doors:
            await door.bind()
            found.setdefault(door.host.name, []).append(list(door.place))
        return found

    async def serve(self, nursery):
        self.nursery = nursery
        for partner, door in self.doors:
            nursery.start_soon(self.accept, nursery, partner, door)

    async def accept(self, nursery, partner, door):
        while True:
            while door.host.refuses:
                await door.host.wakes.wait()
            if door.listener is None:
                await door.bind()
            try:
                with trio.CancelScope() as door.scope:
                    while True:
                        sock, _ = await door.listener.accept()
                        nursery.start_soon(self.connection, partner, door, sock)
            except OSError as cause:
                if cause.errno not in (errno.EBADF, errno.EMFILE, errno.ENFILE):
                    raise
                await trio.sleep(0.05)
            except trio.ClosedResourceError:
                pass

    async def connection(self, partner, door, sock):
        host = door.host
        if host.open >= partner.form.connections:
            return abort(sock)
        host.open += 1
        host.socks[sock] = None
        try:
            await self.talk(partner, door, sock)
        except (*LOST, Refused, EOFError):
            pass
        finally:
            host.open -= 1
            host.socks.pop(sock, None)
            sock.close()

    async def talk(self, partner, door, sock):
        stream, machine, began, fresh = trio.SocketStream(sock), Door(HEAD, BODY), None, True
        host, idle = door.host, span(partner.form.idle_close) / 1e9
        while True:
            request = machine.next()
            if request is None:
                with trio.move_on_after(idle if began is None else 1e9) as scope:
                    data = await stream.receive_some(BODY)
                if scope.cancelled_caught:
                    return
                began = began or self.clock()
                if data and partner.struck(host, "silent"):
                    partner.saw_fail(door.relay)
                    return await self.hold(sock)
                if data and partner.hit(host, "reset-before"):
                    partner.saw_fail(door.relay)
                    return abort(sock)
                machine.feed(data)
                continue
            if not await self.call(partner, door, sock, stream, machine, request, began, fresh):
                return
            began, fresh = None, False

    async def call(self, partner, door, sock, stream, machine, request, began, fresh):
        """One whole call; whether its connection goes on."""
        self.calls += 1
        host, relay, c = door.host, f"n{door.relay}", f"{partner.place.number}.{self.calls}"
        now, mark = self.clock(), request.headers.get("idempotency-key", "")
        body, name = bytes(request.body), request.headers.get("x-request-id", "")
        host.socks[sock] = c
        self.tell(
            "call",
            now,
            c=c,
            id=name,
            relay=relay,
            host=host.name,
            name=host.name_now,
            mark=mark,
            dst=partner.place.number,
            began=began,
            same=body == body_of(mark, len(body)),
        )
        if partner.fallen_until and now >= partner.fallen_until:
            partner.stand_up(now)
        verdict = partner.arrive(now, host.name, door.relay, mark)
        if verdict.cause == "fell over":
            load, known = partner.fell()
            self.tell("fell", now, dst=partner.place.name, load=load, known=known)
        after = verdict.after + (span(partner.form.handshake) if fresh else 0)
        due = now + after
        here = await self.still_there(sock, None if verdict.how == "silent" and not verdict.ran else after)
        if not here:
            self.tell("broke", self.clock(), c=c, by="relay")
            await trio.sleep(max(0, due - self.clock()) / 1e9)
        if verdict.ran:  # also for a caller that has gone: it has the call
            self.tell("ran", self.clock(), c=c, id=name, mark=mark, host=host.name)
        if not here:
            return False
        if verdict.how:
            return await self.spoil(sock, stream, verdict, c)
        headers = [("Wait-Ms", str(-(-verdict.wait // 1_000_000)))] if verdict.wait else []
        if report := partner.load_report(self.clock()):
            headers.append(("X-Load", f"T x0={report[0]}, x1={report[1]}"))
        self.tell(
            "reply",
            self.clock(),
            c=c,
            status=verdict.status,
            wait=verdict.wait,
            relay=relay,
            dst=partner.place.number,
            name=host.name_now,
            cause=verdict.cause,
        )
        host.socks[sock] = None
        answer = machine.answer(verdict.status, headers, c.encode() if verdict.status == 200 else b"")
        await stream.send_all(answer)
        if copied := partner.hit(host, "answer-copied"):
            self.nursery.start_soon(self.copy_answer, sock, answer, c, span(copied.fault.by))
        return not machine.over

    async def copy_answer(self, sock, answer, c, after):
        """Writes an answer once more, `after` nanoseconds later, whatever waits on the connection by then."""
        await trio.sleep(after / 1e9)
        with contextlib.suppress(*LOST):
            await sock.send(answer)
            self.tell("copied", self.clock(), c=c)

    async def spoil(self, sock, stream, verdict, c):
        if verdict.how == "spoilt":
            noise = SPOILT[self.calls % len(SPOILT)]
            with trio.move_on_after(1):
                await stream.send_all(noise)
        if verdict.how != "reset":
            await self.still_there(sock, None)
        self.tell("broke", self.clock(), c=c, by="host" if verdict.how == "reset" else "relay")
        abort(sock)
        return False

    async def still_there(self, sock, ns):
        """Waits so long (None: for ever); False once the relay ended the connection: it sends one call at a
        time, so whatever can be read is its end. ClosedResourceError where a fault reset it meanwhile."""
        if sock.fileno() < 0:
            raise trio.ClosedResourceError
        with trio.move_on_after(1e9 if ns is None else ns / 1e9):
            await trio.lowlevel.wait_readable(sock)
            return False
        return True

    async def hold(self, sock):
        """A connection that nobody reads: until the relay ends it, or the end of the fault resets it."""
        while sock.fileno() >= 0 and not gone(sock):
            await trio.sleep(0.1)

    # Faults.

    async def play(self, number, strike, start):
        """One fault at the hosts of this worker, from its beginning to its end."""
        struck = [
            (partner, host)
            for partner in self.partners
            for host in partner.hosts.values()
            if host.name in strike.names or partner.place.name in strike.names
        ]
        if not struck:
            return
        await self.until(start + strike.begin)
        for partner in {id(partner): partner for partner, _ in struck}.values():
            partner.begin(self.clock(), number, strike)
        for _, host in struck:
            self.strike(host, strike)
        if strike.kind == "leave":
            await self.until(start + strike.begin + GONE_AFTER)
            for _, host in struck:
                host.gone = True
        if strike.end > strike.begin:
            await self.until(start + strike.end)
            for partner in {id(partner): partner for partner, _ in struck}.values():
                partner.finish(self.clock(), number)
            for _, host in struck:
                self.relieve(host, strike)

    def strike(self, host, strike):
        if strike.kind == "refuse":
            host.refuses = True
            for _, door in self.doors:
                if door.host is host:
                    door.scope.cancel()
                    if door.listener is not None:
                        door.listener.close()
                        door.listener = None
            self.reset_all(host)
        elif strike.kind == "replace":
            host.name_now = f"{host.name}+{int(strike.begin)}"
            self.reset_all(host)

    def relieve(self, host, strike):
        if strike.kind == "refuse":
            host.refuses = False
            host.wakes.set()
            host.wakes = trio.Event()
        elif strike.kind in ("silent", "hang"):
            self.reset_all(host)

    def reset_all(self, host):
        for sock, c in list(host.socks.items()):
            if c is not None:
                self.tell("broke", self.clock(), c=c, by="host")
                host.socks[sock] = None
            abort(sock)

    async def until(self, at):
        await trio.sleep(max(0, at - self.clock()) / 1e9)


def body_of(mark, size):
    """What a message with this mark carries: known to the host without being told."""
    text = mark.encode() or b"-"
    return (text * (size // len(text) + 1))[:size]
