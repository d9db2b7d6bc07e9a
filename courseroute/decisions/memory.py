"""How much of a relay's memory limit clients and messages may share."""

BASE_BYTES = 25 << 20  # resident before the first request
MIN_SHARE = 0.25  # of a limit that leaves less than that


def shared_bytes(limit):
    """The bytes of a memory limit (in bytes) that are divided among requests and messages."""
    return int(max(limit - BASE_BYTES, limit * MIN_SHARE))
