"""What the kernel knows of a socket's incoming bytes: those not read yet, and when the last one arrived."""

import socket
import sys

PEEK_BYTES = 64
MS = 1_000_000
LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv of struct tcp_info: milliseconds, as uint32
MAX_PLAUSIBLE_NS = 10_000 * MS  # a longer time is ignored: a kernel that does not track it reports any value


def peek_unread(sock, count=PEEK_BYTES):
    """The first unread bytes, which stay in the socket; b"" where the peer ended or reset the connection;
    None where nothing arrived."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, sock.fileno())
    try:
        return borrowed.recv(count, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""
    finally:
        borrowed.detach()


def read_arrived(sock, count):
    """Reads up to `count` bytes that have arrived, without waiting; b"" where there are none, or the
    connection has ended."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, sock.fileno())
    try:
        return borrowed.recv(count, socket.MSG_DONTWAIT)
    except OSError:
        return b""
    finally:
        borrowed.detach()


def ns_since_last_byte(sock):
    """Nanoseconds since the connection's last byte arrived, read or not; 0 where the kernel does not report
    it. The kernel counts milliseconds, also while the process is stopped."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    since = int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) * MS
    return since if since <= MAX_PLAUSIBLE_NS else 0
