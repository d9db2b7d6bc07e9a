"""A TCP proxy before one address that delays or silences connections, holds back or delays bytes, and sends
answers twice."""

import contextlib
import select
import socket
import threading
import time
from collections import deque
from typing import NamedTuple

POLL_S = 0.01
CHUNK = 65536


class Copies(NamedTuple):
    """Which answers are sent twice: those that begin with `head`.

    The copy follows `after_s` seconds later, or, if that is None, after the next request on the connection.
    """

    head: bytes
    after_s: float | None


class Proxy:
    """Forwards bytes in both directions. All methods and attributes may be used from any thread."""

    def __init__(self, place, receive_buffer=None):
        """`place`: (address, port) of the server; `receive_buffer`: bytes of the receive buffer."""
        self.place = place
        self.listener = socket.socket()
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = self.listener.getsockname()
        self.accepting, self.passing, self.ended = threading.Event(), threading.Event(), threading.Event()
        self.paused = threading.Event()
        self.accepting.set()
        self.passing.set()
        self.fillers = []
        # The Copies to send (None: none), and how many were sent, or met a connection that was closed.
        self.copies, self.copied = None, 0
        self.late_s = 0.0  # delay in seconds of what clients send
        self.silent_connections = 0  # so many of the next connections are read, but never answered
        self.threads = [threading.Thread(target=self.accept, daemon=True)]
        self.threads[0].start()

    def drop_new_connections(self):
        """Makes the kernel drop the SYN of each new connection, by filling the accept queue.

        A client sends its SYN again after a second.
        """
        self.paused.clear()
        self.accepting.clear()
        self.paused.wait()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def accept_again(self):
        """Ends the effect of `drop_new_connections`."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.accepting.set()

    def hold_bytes(self):
        """Stops reading what clients send."""
        self.passing.clear()

    def pass_bytes(self):
        """Reads again what clients send."""
        self.passing.set()

    def close(self):
        """Stops the proxy and closes its listener; waits up to 5 s for each of its threads."""
        self.accept_again()
        self.ended.set()
        self.passing.set()
        for thread in list(self.threads):
            thread.join(5)
        self.listener.close()

    def accept(self):
        while not self.ended.is_set():
            if not self.accepting.is_set():
                self.paused.set()
                self.accepting.wait(POLL_S)
            elif select.select([self.listener], [], [], POLL_S)[0]:
                client, _ = self.listener.accept()
                thread = threading.Thread(target=self.connection, args=(client,), daemon=True)
                self.threads.append(thread)
                thread.start()

    def connection(self, client):
        if self.silent_connections:
            self.silent_connections -= 1
            return self.read_silently(client)
        with client, socket.create_connection(self.place) as server, contextlib.suppress(OSError):
            copy = due = None  # bytes of an answer to repeat, and the time to send them
            delayed = deque()  # (time to send, bytes) of what the client sent
            while not self.ended.is_set():
                wanted = [server, client] if self.passing.is_set() else [server]
                wait = POLL_S if due is None else min(POLL_S, max(0, due - time.monotonic()))
                for source in select.select(wanted, [], [], wait)[0]:
                    data = source.recv(CHUNK)
                    if not data:
                        self.copied += copy is not None
                        return
                    if source is server:
                        client.sendall(data)
                    else:
                        delayed.append((time.monotonic() + self.late_s, data))
                    if source is server and self.copies and data.startswith(self.copies.head):
                        copy, after_s = data, self.copies.after_s
                        due = None if after_s is None else time.monotonic() + after_s
                    elif source is client and copy and due is None:
                        due = time.monotonic()
                while delayed and delayed[0][0] <= time.monotonic():
                    server.sendall(delayed.popleft()[1])
                if due is not None and time.monotonic() >= due:
                    self.copied += 1
                    client.sendall(copy)
                    copy = due = None

    def read_silently(self, client):
        """Reads a connection to its end without answering."""
        with client, contextlib.suppress(OSError):
            while not self.ended.is_set():
                if select.select([client], [], [], POLL_S)[0] and not client.recv(CHUNK):
                    return
