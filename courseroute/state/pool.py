"""A bounded pool of connections to hosts. It keeps the idle ones for reuse and counts those in use."""

from typing import NamedTuple

from courseroute.model.causes import ConnectionCloseCause
from courseroute.wire.connection import Connection
from courseroute.wire.socket_probe import peek_unread

DELIVERED = 200
WATCH_TIME_NS = 1_000_000_000  # for which a connection that isn't used again is kept, to see what comes


class IdleConnection(NamedTuple):
    """An idle connection, when it became idle, and from when it may be used again; None if it may not, and is
    kept to see whether its host sends bytes behind answers.

    Times are nanoseconds of the pool's clock.
    """

    connection: Connection
    since: int
    usable_at: int | None

    def is_usable(self, now, behind_delivery):
        if behind_delivery and self.connection.last_exchange.status != DELIVERED:
            return False
        return self.usable_at is not None and self.usable_at <= now


class ConnectionPool:
    """Connections to all hosts, at most `max_open` at once.

    An idle connection is closed after `idle_timeout` nanoseconds; `max_idle_time()` gives the time after
    which it must not be used again. `on_closed(connection, cause, waiting)` is called for each connection
    that the pool closes; `waiting` are the bytes found unread on it, if any. `on_rested(host)` is called for
    each connection on which nothing came while it was idle.
    """

    def __init__(self, max_open, idle_timeout, clock, max_idle_time):
        self.max_open, self.idle_timeout, self.clock = max_open, idle_timeout, clock
        self.max_idle_time = max_idle_time
        self.on_closed = lambda connection, cause, waiting=b"": None
        self.on_rested = lambda host: None
        self.open_count = 0  # idle ones and those in use
        self.idle = {}  # host -> its IdleConnections, the newest last

    def reserve(self):
        """Counts one more connection, closing the one that has been idle for longest if the pool is full.
        False where all are in use."""
        if self.open_count >= self.max_open:
            oldest = min(((idle[0].since, host) for host, idle in self.idle.items()), default=None)
            if oldest is None:
                return False
            self.discard(self.pop_idle(oldest[1], 0).connection, ConnectionCloseCause.EVICTED)
        self.open_count += 1
        return True

    def release(self):
        """Counts one connection less."""
        self.open_count -= 1

    def pop_idle(self, host, index):
        idle_connection = self.idle[host].pop(index)
        if not self.idle[host]:
            del self.idle[host]
        return idle_connection

    def take_idle(self, host, behind_delivery=False):
        """(connection, idle time) of the newest idle connection whose quiet period is over and that is still
        open, else (None, None). `behind_delivery`: its last answer has to be a delivery.

        A closed connection would lose the call. On a connection used at once, a late duplicate of its last
        answer would be taken for the answer to the next call.
        """
        while (index := self.newest_usable(host, behind_delivery)) is not None:
            connection, since, _ = self.pop_idle(host, index)
            idle_time = self.clock() - since
            if idle_time >= min(self.idle_timeout, self.max_idle_time()):
                self.discard(connection, ConnectionCloseCause.IDLE_TIMEOUT)
            elif self.discard_unless_quiet(connection):
                self.on_rested(host)
                return connection, idle_time
        return None, None

    def newest_usable(self, host, behind_delivery):
        """The index of the newest idle connection that `take_idle` may return, None where there is none."""
        now = self.clock()
        usable = [
            index
            for index, idle in enumerate(self.idle.get(host, ()))
            if idle.is_usable(now, behind_delivery)
        ]
        return usable[-1] if usable else None

    def add_idle(self, host, connection, quiet_period):
        """Keeps a connection for reuse, not before its quiet period (nanoseconds) is over. With None it is
        not reused: it is kept for a while if no other one of the host is."""
        now = self.clock()
        if quiet_period is None and host in self.idle:
            self.discard(connection, ConnectionCloseCause.HOST_NOT_TRUSTED)
            return
        usable_at = None if quiet_period is None else now + quiet_period
        self.idle.setdefault(host, []).append(IdleConnection(connection, now, usable_at))

    def discard(self, connection, cause, waiting=b""):
        """Closes a connection and counts it no longer."""
        self.release()
        connection.close()
        self.on_closed(connection, cause, waiting)

    def discard_unless_quiet(self, connection):
        """Whether the connection is open and has nothing to read; otherwise it is closed."""
        waiting = peek_unread(connection.socket)
        if waiting is None:
            return True
        self.discard(
            connection,
            ConnectionCloseCause.UNEXPECTED_BYTES if waiting else ConnectionCloseCause.ENDED_BY_HOST,
            waiting,
        )
        return False

    def close_idle(self, host, cause=ConnectionCloseCause.CONNECTIONS_UNRELIABLE):
        """Closes all idle connections to a host."""
        while host in self.idle:
            self.discard(self.pop_idle(host, 0).connection, cause)

    def close_all(self):
        """Closes all idle connections, as another process takes over."""
        for host in list(self.idle):
            self.close_idle(host, ConnectionCloseCause.HANDED_OVER)

    def close_stale(self):
        """Closes idle connections that timed out, were closed by the host, or have unexpected bytes to
        read."""
        for host in list(self.idle):
            usable = [idle for idle in self.idle.pop(host) if self.check_idle(host, idle)]
            if usable:
                self.idle[host] = usable

    def check_idle(self, host, idle):
        """Whether an idle connection may be kept; otherwise it is closed."""
        if not self.discard_unless_quiet(idle.connection):
            return False
        age, is_watched = self.clock() - idle.since, idle.usable_at is None
        if age < (WATCH_TIME_NS if is_watched else self.idle_timeout):
            return True
        self.on_rested(host)
        cause = ConnectionCloseCause.HOST_NOT_TRUSTED if is_watched else ConnectionCloseCause.IDLE_TIMEOUT
        self.discard(idle.connection, cause)
        return False
