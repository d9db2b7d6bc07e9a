"""What is compacted, when, and what still fits: no I/O, no clock, no record.

A journal is a list of segments, oldest first, the newest still written to. Called by `store`.
"""

from typing import NamedTuple

SECTORS = 512  # a file counts in whole ones
SEGMENTS, LEAST_SEGMENT, MOST_SEGMENT = 24, 16 << 10, 4 << 20
LIVE_SHARE = 0.78  # of the disk that live messages may fill, with room for their legs and ends
RESERVE, LEAST_RESERVE = 2, 160 << 10  # segments, bytes kept for ends, calls and copies: not for new
START, WASTE = 4, 0.5  # compaction begins below so many free segments; above half where so much is dead
SLICE = 2_000_000  # nanoseconds of work at a stretch


class Segment(NamedTuple):
    number: int
    size: int
    live: int


def segment_size(most):
    """Bytes after which a segment is closed, for a disk of so many."""
    return max(min(LEAST_SEGMENT, most // 8), min(MOST_SEGMENT, most // SEGMENTS))


def reserve(most):
    return min(max(RESERVE * segment_size(most), LEAST_RESERVE), most // 6)


def used(segments):
    """Bytes on the disk at the most: a file counts in whole sectors."""
    return sum(segment.size + SECTORS for segment in segments)


def fits(total, size, most, reserved):
    """Whether so many bytes more may be written beside the `total`; `reserved`: by one who may not use the
    reserve."""
    return total + size + SECTORS <= most - (reserve(most) if reserved else 0)


def pays(total, most):
    """Whether a look for a victim may find one: cheap, asked often."""
    return total > most // 2 or most - total < START * segment_size(most)


def may_take(live, size, most):
    """Whether a message of that size may be taken on, with all that it may still write."""
    return live + size <= int(most * LIVE_SHARE)


def victim(segments, most, hurry=False):
    """The number of the segment to compact next, None where that would not pay yet. The newest is never one;
    of the others it is the one that costs least to copy for what it frees."""
    closed = segments[:-1]
    free = most - used(segments)
    short = hurry or free < START * segment_size(most)
    if not short and used(segments) <= most // 2:
        return None
    best = max(closed, key=lambda one: ((one.size - one.live) / (one.live + 1), -one.number), default=None)
    if best is None or best.live >= best.size:
        return None
    if not short and best.live > best.size * (1 - WASTE) or best.live + 2 * SECTORS > free:
        return None
    return best.number
