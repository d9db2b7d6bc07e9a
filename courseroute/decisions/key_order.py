"""Order of messages by key: one message of a key at a time, in order of arrival.

Times are whole nanoseconds of the caller's clock.
"""

from courseroute.model.types import KeyQueue

S = 1_000_000_000
# A key waits for the notice of its closed message up to this long after the notice was due: by then the
# reserve of the final answer and the tolerance of the protocol are over.
KEY_HELD_AFTER_DEADLINE = 1 * S


class KeyOrder:
    """The queues of all keys. `schedule(when, callback, *args)` calls back at a time; `book(now, message)`
    books the message whose turn it is; `is_open(message)`: whether it isn't over yet; `gap`: the least time
    between two messages of a key whose first may have run."""

    def __init__(self, schedule, book, is_open, gap):
        self.schedule, self.book, self.is_open, self.gap = schedule, book, is_open, gap
        self.queues = {}  # key -> KeyQueue
        self.awaiting_notice = {}  # name -> closed message whose key waits until its notice is accepted

    def pause(self, now, key):
        """An attempt of a message of the key may have run: the next one waits."""
        self.queues.setdefault(key, KeyQueue()).not_before = now + self.gap

    def enter(self, now, message):
        """Puts an ordered message into its key's queue. True if the message has no such queue."""
        if not (message.key and message.lane.ordered):
            return True
        self.queues.setdefault(message.key, KeyQueue()).queue.append(message)
        return self.book_next(now, message.key)

    def hold(self, message):
        """Keeps a message that ends with a notice in its key's queue until the notice is accepted: it is not
        over before. Not for ever, as the platform may be down: a message whose notice is that late is lost,
        and its key goes on."""
        message.awaits_notice = True
        self.awaiting_notice[message.name] = message
        self.schedule(message.deadline + KEY_HELD_AFTER_DEADLINE, self.release, message)

    def notice_accepted(self, now, name):
        """The final status of a message is known outside."""
        if message := self.awaiting_notice.get(name):
            self.release(now, message)

    def release(self, now, message):
        """Ends the wait that `hold` began."""
        if not message.awaits_notice:
            return
        message.awaits_notice = False
        if self.awaiting_notice.get(message.name) is message:
            del self.awaiting_notice[message.name]
        if not self.is_open(message):
            self.leave(now, message)

    def leave(self, now, message):
        """Removes a message that is over from its key's queue; the next one of the key gets its turn after
        the ordering gap."""
        if key_queue := self.queues.get(message.key):
            # A message that was not admitted is not in the queue.
            if message in key_queue.queue:
                key_queue.queue.remove(message)
            self.schedule(now, self.book_next, message.key)

    def book_next(self, now, key):
        """Books the first message of a key, unless it is on its way or the key has to wait."""
        key_queue = self.queues.get(key)
        if key_queue and now < key_queue.not_before:
            self.schedule(key_queue.not_before, self.book_next, key)
        elif key_queue and not key_queue.queue:
            del self.queues[key]
        elif key_queue:
            first = key_queue.queue[0]
            if not (
                first.is_closed or first.route or first.pending or first in first.destination.without_host
            ):
                self.book(now, first)
