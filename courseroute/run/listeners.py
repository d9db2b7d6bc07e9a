"""The sockets on which a relay listens: its own, or one that the platform holds and every process inherits.

An inherited socket is shared with other processes: it is closed here, but never shut down, as connections
that wait on it belong to whichever process accepts them.
"""

import errno
import os
import socket
import stat

import trio

from courseroute.run.retry import retry_os_errors

ADDRESS_NOT_FREE = "address not free"  # log events
INHERITED_NOT_USABLE = "inherited socket not usable"


class NoStreamSocket(Exception):
    """A descriptor is not open, or is something else."""


async def open_client_socket(descriptor, address, log_event):
    """The socket on which clients connect: the inherited one with the number `descriptor`, unless that is
    None or unusable, else a new one bound to `address` once that is free. `start_listening` comes later."""
    if descriptor is not None:
        try:
            return await retry_os_errors(
                lambda: inherited_socket(descriptor), INHERITED_NOT_USABLE, log_event
            )
        except NoStreamSocket as error:
            log_event(INHERITED_NOT_USABLE, descriptor=descriptor, error=str(error))
    return await open_socket(address, log_event)


async def open_socket(address, log_event):
    """A new socket bound to an address (host, port), once that is free."""
    return await retry_os_errors(lambda: bind_socket(address), ADDRESS_NOT_FREE, log_event)


async def start_listening(listener, backlog, log_event):
    """Has connections queue on the socket, unless another process that shares it has done so."""
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        await retry_os_errors(lambda: listener.listen(backlog), ADDRESS_NOT_FREE, log_event)


def inherited_socket(descriptor):
    """The socket with that number. Raises NoStreamSocket where it is none, OSError where resources lack."""
    try:
        is_socket = stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except OSError as error:
        raise NoStreamSocket(str(error)) from None
    if not is_socket:
        raise NoStreamSocket("no socket")
    inherited = socket.socket(fileno=os.dup(descriptor))
    if inherited.type != socket.SOCK_STREAM:
        inherited.close()
        raise NoStreamSocket("no stream socket")
    return trio.socket.from_stdlib_socket(inherited)


def bind_socket(address):
    """A new socket bound to an address (host, port). An address that no socket takes raises OSError too."""
    bound = socket.socket()
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(address)
    except (TypeError, ValueError) as error:  # a host name that can't be encoded
        bound.close()
        raise OSError(errno.EINVAL, f"no address: {error}") from None
    except OSError:
        bound.close()
        raise
    return trio.socket.from_stdlib_socket(bound)
