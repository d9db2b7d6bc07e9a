"""What waits on a connection to be read, looked at without taking it."""

import socket

MOST_BYTES = 64


def unread(sock, most=MOST_BYTES):
    """The first bytes that wait unread; b"" where the peer ended or reset the connection; else None."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, sock.fileno())
    try:
        return borrowed.recv(most, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""
    finally:
        borrowed.detach()
