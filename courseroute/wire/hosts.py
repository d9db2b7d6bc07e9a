"""Thin driver for calls to hosts: one task a call, connections kept in the pool between calls."""
import math

import trio

from courseroute.wire import words
from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Link

BROKE = (ConnectionResetError, BrokenPipeError, trio.BrokenResourceError, EOFError)    # a connection once up


class Hosts:
    """Each call ends in one `desk.returned`; whether its last byte was written tells if it may have run."""

    def __init__(self, nursery, desk, pool, house, terms, clock, log):
        self.nursery, self.desk, self.pool, self.house, self.clock = nursery, desk, pool, house, clock
        self.connect_within = terms.get("connect_within", house["write_within"])
        self.log = log
        self.where, self.scopes, self.left = {}, {}, set()     # left: calls whose first byte may be written

    def call(self, msg, n, host, until):
        scope = self.scopes[(msg.name, n)] = trio.CancelScope()
        self.nursery.start_soon(self.leg, msg, n, host, until, scope)

    def cancel(self, name, n):
        if (name, n) in self.scopes:
            self.scopes[(name, n)].cancel()

    def cancel_all(self, but_left=False):
        for leg, scope in self.scopes.items():
            if not (but_left and leg in self.left):
                scope.cancel()

    def close(self, host):
        self.pool.close(host)

    async def leg(self, msg, n, host, until, scope):
        begun = self.clock()
        leg = Leg(self, msg, n, host, until)
        scope.deadline = trio.current_time() + (until - begun) / 1e9
        try:
            with scope:
                await leg.go()
        except (*LOST, Refused, trio.TooSlowError) as cause:
            leg.broke = isinstance(cause, BROKE)
        except Exception as cause:      # one call's odd answer must not end the relay
            self.log("call failed", host=host, error=repr(cause)[:300])
        del self.scopes[(msg.name, n)]
        self.left.discard((msg.name, n))
        over = self.clock() >= until
        call, report = leg.link and leg.link.call, None
        if leg.written and (call.settled or call.first == 200):     # the first line of a delivery is true,
            told = words.ending_of(call.first, call.headers)        # whatever comes behind it
            report = words.report_of(call.headers.get("x-load"))
        elif not leg.written:       # proved never to have run
            held_back = leg.held_back or scope.cancelled_caught and not over
            told = "unsent" if held_back else "broken" if leg.broke else "unreachable", 0, False
        elif scope.cancelled_caught:
            told = "timeout" if over else "cancelled", 0, False
        else:
            told = "stale" if leg.idle is not None and not call.begun else "reset", 0, False
        try:
            self.desk.returned(msg.name, n, host, *told, leg.took or self.clock() - begun, report, leg.idle)
            if call and call.settled:
                await leg.drain()
        except (*LOST, Refused):
            pass
        finally:
            leg.close()

    def unsent(self, msg, n, host):
        """For a call that must not leave; the module is told a little later, lest it try at once for ever."""
        self.nursery.start_soon(self.say_unsent, msg, n, host)

    async def say_unsent(self, msg, n, host):
        await trio.sleep(self.house["notice_pause"] / 1e9)
        self.desk.returned(msg.name, n, host, "unsent", 0, False, 0, None)


class Leg:
    def __init__(self, hosts, msg, n, host, until):
        self.hosts, self.msg, self.n, self.host, self.until = hosts, msg, n, host, until
        self.link = self.took = None
        self.written = self.held_back = self.broke = False
        self.idle = None        # how long its connection had stood idle, None for a new one

    async def go(self):
        hosts, begun = self.hosts, self.hosts.clock()
        self.link, self.idle = hosts.pool.idle(self.host)
        self.link = self.link or await self.connect()
        await hosts.desk.settled()
        # A wait, or a drain, may have been told while the connection came up, and a repeat's window be over.
        self.held_back = self.link is None or not hosts.desk.may_leave(self.msg.name, self.n)
        if self.held_back:
            return
        hosts.left.add((self.msg.name, self.n))
        fields = words.call_head(self.msg, self.until - hosts.clock())
        await self.link.send("POST", "/hook", fields, self.msg.body)
        self.written = True
        hosts.desk.tally.called()
        call = self.link.call
        while not call.settled:     # an answer that began and stands still is spoilt
            with trio.fail_after(hosts.house["drain_answer"] / 1e9 if call.begun else math.inf):
                await self.link.hear()
            self.took = self.took or hosts.clock() - begun

    async def connect(self):
        """None where the host left or there is no room for a connection; TimeoutError where none comes up."""
        hosts, up = self.hosts, False
        place = hosts.where.get(self.host)
        if place is None or not hosts.pool.enter():
            return None
        try:
            with trio.fail_after(hosts.connect_within / 1e9):
                link = Link(hosts.house["head"], hosts.house["body"], keeps=False)
                await link.dial(place)
                up = True
        except trio.TooSlowError:
            raise TimeoutError from None
        finally:
            if not up:
                hosts.pool.leave()
        return link

    async def drain(self):
        """Reads the answer to its end, within bounds, so that the connection can be used again."""
        with trio.move_on_after(self.hosts.house["drain_answer"] / 1e9):
            await self.link.hear_all()
        if self.link.call.reusable():
            self.hosts.pool.keep(self.host, self.link)
            self.link = None

    def close(self):
        if self.link is not None:
            self.hosts.pool.drop(self.link)
            self.link = None
