"""Connections to hosts that stand idle between calls; bounded, those in use counted too."""
import select


class Pool:
    def __init__(self, most, keep_for, clock, fresh_for):
        self.most, self.keep_for, self.clock = most, keep_for, clock
        self.fresh_for = fresh_for      # a method that tells how long one may have stood idle
        self.open = 0
        self.kept = {}          # host -> [(connection, idle since)], the newest last

    def enter(self):
        """Room for one more connection; an idle one gives way. False when all are in use."""
        if self.open >= self.most:
            oldest = min((lines[0][1], host) for host, lines in self.kept.items()) if self.kept else None
            if oldest is None:
                return False
            self.drop(self.take(oldest[1], 0))
        self.open += 1
        return True

    def leave(self):
        self.open -= 1

    def take(self, host, at):
        conn, _ = self.kept[host].pop(at)
        if not self.kept[host]:
            del self.kept[host]
        return conn

    def idle(self, host):
        """The newest idle connection that still stands, and its idle time: a dead one would lose the call."""
        while host in self.kept:
            idle = self.clock() - self.kept[host][-1][1]
            conn = self.take(host, -1)
            if idle < min(self.keep_for, self.fresh_for()) and quiet(conn):
                return conn, idle
            self.drop(conn)
        return None, None

    def keep(self, host, conn):
        self.kept.setdefault(host, []).append((conn, self.clock()))

    def drop(self, conn):
        self.leave()
        conn.close()

    def close(self, host):
        while host in self.kept:
            self.drop(self.take(host, 0))

    def close_all(self):
        for host in list(self.kept):
            self.close(host)

    def sweep(self):
        """Closes what stood idle for long, or was closed by its host."""
        for host in list(self.kept):
            stale = [i for i, (conn, since) in enumerate(self.kept[host])
                     if self.clock() - since >= self.keep_for or not quiet(conn)]
            for i in reversed(stale):
                self.drop(self.take(host, i))


def quiet(conn):
    poll = select.poll()
    poll.register(conn.socket.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poll.poll(0)
