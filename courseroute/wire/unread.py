"""What waits on a connection to be read, looked at without taking it, and since when the last of it came."""

import socket
import sys

MOST_BYTES = 64
MS = 1_000_000
LAST_DATA_RECEIVED = slice(52, 56)  # of the system's struct tcp_info: milliseconds, as uint32
LONGEST_NS = 10_000 * MS  # what is longer is no reading: a system that does not keep it says anything


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


def since_last_byte(sock):
    """Nanoseconds since the connection's last byte came, read or not; 0 where the system can't tell. Counted
    by the system in milliseconds, whatever the process did meanwhile."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    since = int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) * MS
    return since if since <= LONGEST_NS else 0
