"""Compaction policy and space limits: which segment to compact, when, and what fits. No I/O, no clock.

A journal is a list of segments, oldest first; the last one is still being written. Called by `store`.
"""

from typing import NamedTuple

SECTOR_BYTES = 512  # file sizes are rounded up to whole sectors
SEGMENT_COUNT, MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 24, 16 << 10, 4 << 20
MAX_LIVE_SHARE = 0.78  # of the disk for live messages; the rest is for their attempts and closing records
RESERVE_SEGMENTS, MIN_RESERVE_BYTES = 2, 160 << 10  # space that new messages do not use
# Compaction starts with fewer than MIN_FREE_SEGMENTS segments free, or above half full if at least the share
# MIN_DEAD_SHARE of a segment is dead.
MIN_FREE_SEGMENTS, MIN_DEAD_SHARE = 4, 0.5
SLICE_NS = 2_000_000  # length of one compaction slice


class Segment(NamedTuple):
    """A segment: its number, its size and its live bytes."""

    number: int
    size: int
    live: int


def segment_size(most):
    """Size in bytes at which a segment is closed, for a journal of at most `most` bytes."""
    return max(min(MIN_SEGMENT_BYTES, most // 8), min(MAX_SEGMENT_BYTES, most // SEGMENT_COUNT))


def reserve(most):
    """Bytes reserved for closing records, attempts and copies, for a journal of at most `most` bytes."""
    return min(max(RESERVE_SEGMENTS * segment_size(most), MIN_RESERVE_BYTES), most // 6)


def used(segments):
    """Upper bound of the bytes on disk, with files rounded up to whole sectors."""
    return sum(segment.size + SECTOR_BYTES for segment in segments)


def fits(total, size, most, reserved):
    """Whether `size` more bytes fit beside `total`; `reserved`: without using the space reserved for closing
    records, attempts and copies."""
    return total + size + SECTOR_BYTES <= most - (reserve(most) if reserved else 0)


def may_pay_off(total, most):
    """Whether a search for a victim may succeed: a cheap check that runs often."""
    return total > most // 2 or most - total < MIN_FREE_SEGMENTS * segment_size(most)


def may_accept(live, size, most):
    """Whether a message of that size can be accepted, with the records it may add later."""
    return live + size <= int(most * MAX_LIVE_SHARE)


def victim(segments, most, hurry=False):
    """The number of the segment to compact next, or None if compaction is not worthwhile yet. Never the
    newest; of the others, the one with the best ratio of freed to copied bytes."""
    closed = segments[:-1]
    free = most - used(segments)
    short = hurry or free < MIN_FREE_SEGMENTS * segment_size(most)
    if not short and used(segments) <= most // 2:
        return None
    best = max(closed, key=lambda one: ((one.size - one.live) / (one.live + 1), -one.number), default=None)
    if best is None or best.live >= best.size:
        return None
    if not short and best.live > best.size * (1 - MIN_DEAD_SHARE) or best.live + 2 * SECTOR_BYTES > free:
        return None
    return best.number
