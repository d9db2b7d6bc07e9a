"""What the servers for clients and for operators share: accepting connections, and ending them unharmed."""

import errno

import trio

RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
ACCEPT_RETRY_S = 0.05
MAX_READ_BYTES = 16_384


async def accept_connections(listener, log_event):
    """Yields each accepted socket until the listener is closed. Where resources are lacking it waits; the
    first such failure in a row is logged."""
    lacks_resources = False
    while True:
        try:
            sock, _ = await listener.accept()
        except OSError as cause:
            if cause.errno in RESOURCE_ERRORS:
                if not lacks_resources:
                    log_event("no descriptors for a client", error=str(cause))
                lacks_resources = True
                await trio.sleep(ACCEPT_RETRY_S)
            continue
        except trio.ClosedResourceError:
            return
        lacks_resources = False
        yield sock


async def finish_sending(stream, within_s):
    """Ends the sending side after the last answer and reads until the peer closes, for at most `within_s`
    seconds: closing a socket with unread bytes resets the connection, and the answer could be lost."""
    with trio.move_on_after(within_s):
        await stream.send_eof()
        while await stream.receive_some(MAX_READ_BYTES):
            pass
