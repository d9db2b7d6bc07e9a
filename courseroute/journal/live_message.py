"""Which bytes of the journal's segments a message still needs."""


class LiveMessage:
    """Space accounting of a live message.

    `first_segment` and `first_bytes`: the segment with its first record, and its live bytes there;
    `other_bytes`: its live bytes in other segments, by segment number, or None; `holding_segments`: numbers
    of the segments that contain its accepting record or the record of its pending notice, including
    superseded copies; `notice_pending`: its final notice is not yet acknowledged.
    """

    __slots__ = ("first_segment", "first_bytes", "other_bytes", "holding_segments", "notice_pending")

    def __init__(self, number, holding_segments=(), notice_pending=False):
        self.first_segment, self.first_bytes, self.other_bytes, self.notice_pending = (
            number,
            0,
            None,
            notice_pending,
        )
        self.holding_segments = (
            (*holding_segments, number) if number not in holding_segments else holding_segments
        )

    def add(self, number, size):
        """Adds `size` live bytes in segment `number`."""
        if number == self.first_segment:
            self.first_bytes += size
        elif self.other_bytes is None:
            self.other_bytes = {number: size}
        else:
            self.other_bytes[number] = self.other_bytes.get(number, 0) + size

    def bytes_in(self, number):
        """Live bytes of this message in segment `number`."""
        return self.first_bytes if number == self.first_segment else (self.other_bytes or {}).get(number, 0)
