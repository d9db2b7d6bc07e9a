"""A TCP proxy before one address: connections come up late or stay silent, bytes are held back or come late,
answers come twice."""

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
    """Which answers come twice: those that begin with `head`, again `after_s` seconds later; None: as the
    next request on the connection has passed."""

    head: bytes
    after_s: float | None


class Proxy:
    """Passes bytes on both ways. All switches may be used from any thread; `close` ends it."""

    def __init__(self, place, receive_buffer=None):
        """`place`: (address, port) behind it; `receive_buffer`: bytes that the system takes in unread."""
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
        self.copies, self.copied = None, 0  # Copies to make, and how many were made
        self.late_s = 0.0  # what clients send is passed on so many seconds later
        self.silent_connections = 0  # so many of the next ones are read, and never answered
        self.threads = [threading.Thread(target=self.accept, daemon=True)]
        self.threads[0].start()

    def drop_new_connections(self):
        """From now on the system drops the first packet of each new connection, as the queue of those to be
        accepted is full. A client sends that packet again after a second."""
        self.paused.clear()
        self.accepting.clear()
        self.paused.wait()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def accept_again(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.accepting.set()

    def hold_bytes(self):
        """Nothing that clients send is read any more."""
        self.passing.clear()

    def pass_bytes(self):
        self.passing.set()

    def close(self):
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
            return self.swallow(client)
        with client, socket.create_connection(self.place) as server, contextlib.suppress(OSError):
            copy = due = None  # of an answer: its bytes, and when they are to be sent
            late = deque()  # (when to send it, bytes) of what the client sent
            while not self.ended.is_set():
                wanted = [server, client] if self.passing.is_set() else [server]
                wait = POLL_S if due is None else min(POLL_S, max(0, due - time.monotonic()))
                for source in select.select(wanted, [], [], wait)[0]:
                    data = source.recv(CHUNK)
                    if not data:
                        return
                    if source is server:
                        client.sendall(data)
                    else:
                        late.append((time.monotonic() + self.late_s, data))
                    if source is server and self.copies and data.startswith(self.copies.head):
                        copy, after_s = data, self.copies.after_s
                        due = None if after_s is None else time.monotonic() + after_s
                    elif source is client and copy and due is None:
                        due = time.monotonic()
                while late and late[0][0] <= time.monotonic():
                    server.sendall(late.popleft()[1])
                if due is not None and time.monotonic() >= due:
                    client.sendall(copy)
                    self.copied += 1
                    copy = due = None

    def swallow(self, client):
        """Reads a connection to its end without a word."""
        with client, contextlib.suppress(OSError):
            while not self.ended.is_set():
                if select.select([client], [], [], POLL_S)[0] and not client.recv(CHUNK):
                    return
