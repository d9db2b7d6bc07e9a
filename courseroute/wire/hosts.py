"""Thin driver for calls to hosts: one task a call, connections kept in the pool between calls."""
import time

import trio

from courseroute.wire import words
from courseroute.wire.http import LOST, Call, Refused


class Hosts:
    """Each call ends in one `desk.returned`; whether its last byte was written tells if it may have run."""

    def __init__(self, nursery, desk, pool, house, terms, clock, log):
        self.nursery, self.desk, self.pool, self.house, self.clock = nursery, desk, pool, house, clock
        self.connect_within = terms.get("connect_within", house["write_within"])
        self.log = log
        self.where, self.scopes = {}, {}

    def call(self, msg, n, host, until):
        scope = self.scopes[(msg.name, n)] = trio.CancelScope()
        self.nursery.start_soon(self.leg, msg, n, host, until, scope)

    def cancel(self, name, n):
        if (name, n) in self.scopes:
            self.scopes[(name, n)].cancel()

    def close(self, host):
        self.pool.close(host)

    async def leg(self, msg, n, host, until, scope):
        begun = self.clock()
        leg = Leg(self, msg, n, host, until)
        scope.deadline = trio.current_time() + (until - begun) / 1e9
        try:
            with scope:
                await leg.go()
        except (*LOST, Refused):
            pass
        except Exception as cause:
            self.log("call failed", host=host, error=repr(cause)[:300])
        del self.scopes[(msg.name, n)]
        told = leg.told
        if told is None:
            if not leg.written:     # proved never to have run
                called_off = scope.cancelled_caught and self.clock() < until
                ending = "unsent" if leg.held_back or called_off else "unreachable"
            elif scope.cancelled_caught:
                ending = "timeout" if self.clock() >= until else "cancelled"
            else:
                ending = "reset"
            told = ending, 0, False
        try:
            self.desk.returned(msg.name, n, host, *told, leg.took or self.clock() - begun, leg.report)
            if leg.told and leg.conn:
                await leg.drain()
        finally:
            leg.close()


class Leg:
    def __init__(self, hosts, msg, n, host, until):
        self.hosts, self.msg, self.n, self.host, self.until = hosts, msg, n, host, until
        self.conn = self.told = self.report = self.took = None
        self.written = self.held_back = False

    async def go(self):
        hosts, begun = self.hosts, self.hosts.clock()
        self.conn = hosts.pool.idle(self.host)
        if self.conn is None:
            self.conn = await self.connect()
            if self.conn is None:
                return
            if not hosts.desk.may_leave(self.msg.name, self.n):
                self.held_back = True
                return
        stream, call = self.conn
        fields = words.call_head(self.msg, self.until - hosts.clock())
        await stream.send_all(call.begin("POST", "/hook", fields, self.msg.body) + self.msg.body)
        self.written = True
        while call.status is None:
            call.feed(await stream.receive_some(hosts.house["head"]))
        self.took = hosts.clock() - begun
        self.told = words.ending_of(call.status, call.headers)
        self.report = words.report_of(call.headers.get("x-load"))

    async def connect(self):
        hosts = self.hosts
        if not hosts.pool.enter():
            self.held_back = True
            return None
        place, conn = hosts.where.get(self.host), None
        try:
            with trio.move_on_after(hosts.connect_within / 1e9):
                sock = trio.socket.socket()
                try:
                    await sock.connect(place)
                    conn = trio.SocketStream(sock), Call(hosts.house["head"])
                finally:
                    if conn is None:
                        sock.close()
        finally:
            if conn is None:
                hosts.pool.leave()
        return conn

    async def drain(self):
        """Reads the answer to its end, within bounds, so that the connection can be used again."""
        stream, call = self.conn
        try:
            with trio.move_on_after(self.hosts.house["drain_answer"] / 1e9):
                while not call.done:
                    call.feed(await stream.receive_some(self.hosts.house["head"]))
        except (*LOST, Refused):
            return
        if call.reusable():
            conn, self.conn = self.conn, None
            self.hosts.pool.keep(self.host, conn, time.monotonic_ns())

    def close(self):
        if self.conn is not None:
            conn, self.conn = self.conn, None
            self.hosts.pool.drop(conn)
