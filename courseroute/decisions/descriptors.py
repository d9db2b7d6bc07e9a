"""How a relay divides its file descriptors between clients, hosts and all else.

The shares leave enough for all else where there are many descriptors. Where there are few, a fixed number is
set aside first: journal, listeners, operators, notices and discovery, and a successor's start beside this
process, which counts under the same limit.
"""

from typing import NamedTuple

CLIENT_SHARE, REFUSED_SHARE, HOST_SHARE = 0.5, 0.06, 0.3
RESERVED = 52  # 34 of this process at most, 18 of a successor
MAX_RESERVED_SHARE = 0.5  # of a limit below what the platform allows


class DescriptorBudget(NamedTuple):
    """Numbers of connections: clients that are served, clients that only hear a refusal, hosts."""

    clients: int
    refused: int
    hosts: int


def divide_descriptors(total):
    """The DescriptorBudget of a process that may hold `total` descriptors."""
    reserved = min(RESERVED, total * MAX_RESERVED_SHARE)
    base = min(total, (total - reserved) / (CLIENT_SHARE + REFUSED_SHARE + HOST_SHARE))
    return DescriptorBudget(int(base * CLIENT_SHARE), int(base * REFUSED_SHARE), int(base * HOST_SHARE))
