"""Handovers under many requests on kept connections: what clients meet, at a rate the town's day lacks.

python benchmarks/handovers.py [--upgrades 20] [--clients 25] starts a relay as the deploy file has it,
upgrades it again and again, and prints what was refused, reset or late; it exits with 1 where that is more
than one in two upgrades (a client may write in the very moment in which its connection ends).
"""
import http.client
import select
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

import click

sys.path[:0] = [str(Path(__file__).parent.parent / "tests")]
from helpers import Town, until  # noqa: E402

PAUSE, LATE = 0.08, 0.4         # seconds: between two requests of a client, and until it would give up


class Client(threading.Thread):
    """Asks on one connection while that stays open, as the protocol has it."""

    def __init__(self, town, n, stop):
        super().__init__()
        self.town, self.n, self.stop, self.conn = town, n, stop, None
        self.took, self.met = [], []

    def run(self):
        while not self.stop.wait(PAUSE):
            begun = time.monotonic()
            try:
                status = self.ask(f"c{self.n}-{len(self.took)}")
            except (OSError, http.client.HTTPException) as cause:
                self.conn, status = None, repr(cause)
            self.took.append(time.monotonic() - begun)
            if status != 202 or self.took[-1] > LATE:
                self.met.append(f"{status} after {1e3 * self.took[-1]:.0f} ms")

    def ask(self, name):
        if self.conn and readable(self.conn.sock):      # the relay ended it
            self.conn = None
        self.conn = self.conn or http.client.HTTPConnection("127.0.0.1", self.town.port, timeout=2)
        self.conn.request("POST", "/notice", b"x" * 200, {
            "X-Request-Id": name, "X-Class": "notice", "X-Tenant": "t", "X-Deadline": "8000m",
            "Envelope": "dest=7", "Idempotency-Key": name})
        answer = self.conn.getresponse()
        answer.read()
        if answer.getheader("Connection") == "close":
            self.conn = None
        return answer.status


def readable(sock):
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


@click.command()
@click.option("--upgrades", default=20)
@click.option("--clients", default=25)
def main(upgrades, clients):
    with tempfile.TemporaryDirectory() as folder:
        town = Town(Path(folder), {"disk_mb": 30}, slots=14)
        town.hold_socket()
        try:
            town.start()
            stop = threading.Event()
            asking = [Client(town, n, stop) for n in range(clients)]
            for client in asking:
                client.start()
            for _ in range(upgrades):
                time.sleep(1)
                old = town.upgrade()
                old.send_signal(signal.SIGTERM)
                old.wait(5)
            time.sleep(1)
            stop.set()
            for client in asking:
                client.join()
            until(lambda: town.figures()["in_flight"] == 0)
        finally:
            town.close()
    took = sorted(one for client in asking for one in client.took)
    met = [one for client in asking for one in client.met]
    click.echo(f"{upgrades} upgrades, {len(took)} requests, p99 {1e3 * took[len(took) * 99 // 100]:.0f} ms, "
               f"longest {1e3 * took[-1]:.0f} ms; {len(met)} refused, reset or late")
    for one in met[:20]:
        click.echo(one)
    raise SystemExit(2 * len(met) > upgrades)


if __name__ == "__main__":
    main()
