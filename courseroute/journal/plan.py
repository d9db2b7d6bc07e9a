"""Compaction policy and space limits: which segment to compact, when, and what fits. No I/O, no clock.

A journal is a list of segments, oldest first; the last one is still being written. Called by `store`.
"""

from typing import NamedTuple

SECTORS = 512  # bytes; file sizes are rounded up to whole sectors
SEGMENTS, LEAST_SEGMENT, MOST_SEGMENT = 24, 16 << 10, 4 << 20
LIVE_SHARE = 0.78  # of the disk for live messages; the rest is for their attempts and closing records
RESERVE, LEAST_RESERVE = 2, 160 << 10  # in segments, in bytes: not for new messages
# Compaction starts with fewer than START segments free; above half full, if a share WASTE is dead.
START, WASTE = 4, 0.5
SLICE = 2_000_000  # nanoseconds of one compaction slice


class Segment(NamedTuple):
    number: int
    size: int
    live: int


def segment_size(most):
    """Size in bytes at which a segment is closed, for a journal of at most `most` bytes."""
    return max(min(LEAST_SEGMENT, most // 8), min(MOST_SEGMENT, most // SEGMENTS))


def reserve(most):
    return min(max(RESERVE * segment_size(most), LEAST_RESERVE), most // 6)


def used(segments):
    """Upper bound of the bytes on disk, with files rounded up to whole sectors."""
    return sum(segment.size + SECTORS for segment in segments)


def fits(total, size, most, reserved):
    """Whether `size` more bytes fit beside `total`; `reserved`: without using the space reserved for closing
    records, attempts and copies."""
    return total + size + SECTORS <= most - (reserve(most) if reserved else 0)


def pays(total, most):
    """Whether a search for a victim may succeed: a cheap check that runs often."""
    return total > most // 2 or most - total < START * segment_size(most)


def may_take(live, size, most):
    """Whether a message of that size can be accepted, with the records it may add later."""
    return live + size <= int(most * LIVE_SHARE)


def victim(segments, most, hurry=False):
    """The number of the segment to compact next, or None if compaction is not worthwhile yet. Never the
    newest; of the others, the one with the best ratio of freed to copied bytes."""
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
