"""Connections to hosts that stand idle between calls; bounded, those in use counted too."""

from typing import NamedTuple

from courseroute.model.causes import ConnectionEnd
from courseroute.wire.link import REST_NS, Link
from courseroute.wire.unread import unread


class Kept(NamedTuple):
    """An idle connection, since when it is one, and when it has rested; nanoseconds of the pool's clock."""

    link: Link
    since: int
    rested_at: int


class Pool:
    """`closed(link, cause, waiting)` is told each connection that the pool closes; `waiting` are the bytes
    found unread on it, if any."""

    def __init__(self, most, keep_for, clock, fresh_for):
        self.most, self.keep_for, self.clock = most, keep_for, clock
        self.fresh_for = fresh_for  # a method that tells how long one may have stood idle
        self.closed = lambda link, cause, waiting=b"": None
        self.open = 0
        self.kept = {}  # host -> its Kept, the newest last

    def enter(self):
        """Room for one more connection; an idle one gives way. False when all are in use."""
        if self.open >= self.most:
            oldest = min(((kept[0].since, host) for host, kept in self.kept.items()), default=None)
            if oldest is None:
                return False
            self.drop(self.take(oldest[1], 0).link, ConnectionEnd.ROOM_NEEDED)
        self.open += 1
        return True

    def leave(self):
        self.open -= 1

    def take(self, host, at):
        kept = self.kept[host].pop(at)
        if not self.kept[host]:
            del self.kept[host]
        return kept

    def idle(self, host):
        """The newest idle connection that has rested and still stands, and its idle time, else (None, None).
        A dead one would lose the call. On one used at once a second copy of its last answer, which comes a
        little later, would be taken for the answer to the next call."""
        while (at := self.newest_rested(host)) is not None:
            link, since, _ = self.take(host, at)
            idle = self.clock() - since
            if idle >= min(self.keep_for, self.fresh_for()):
                self.drop(link, ConnectionEnd.IDLE_FOR_LONG)
            elif self.drop_unless_quiet(link):
                return link, idle
        return None, None

    def newest_rested(self, host):
        """Its place among those kept to the host, None where there is none."""
        now = self.clock()
        rested = [at for at, kept in enumerate(self.kept.get(host, ())) if kept.rested_at <= now]
        return rested[-1] if rested else None

    def keep(self, host, link, rest=REST_NS):
        now = self.clock()
        self.kept.setdefault(host, []).append(Kept(link, now, now + rest))

    def drop(self, link, cause, waiting=b""):
        self.leave()
        link.close()
        self.closed(link, cause, waiting)

    def drop_unless_quiet(self, link):
        """Whether the connection stands and nothing came on it; else it is closed."""
        waiting = unread(link.socket)
        if waiting is None:
            return True
        self.drop(
            link, ConnectionEnd.BYTES_BEHIND_ANSWER if waiting else ConnectionEnd.ENDED_BY_HOST, waiting
        )
        return False

    def close(self, host):
        """Closes all idle connections to a host."""
        while host in self.kept:
            self.drop(self.take(host, 0).link, ConnectionEnd.NOT_TRUSTED)

    def sweep(self):
        """Closes what stood idle for long, was closed by its host, or brought bytes that nobody asked for."""
        for host in list(self.kept):
            standing = [kept for kept in self.kept.pop(host) if self.still_stands(kept)]
            if standing:
                self.kept[host] = standing

    def still_stands(self, kept):
        if self.clock() - kept.since >= self.keep_for:
            self.drop(kept.link, ConnectionEnd.IDLE_FOR_LONG)
            return False
        return self.drop_unless_quiet(kept.link)
