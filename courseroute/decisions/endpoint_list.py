"""When discovery is called for the list of endpoints, and how long that list may be used unconfirmed.

The platform counts a change of the list as told `told_within` after it was made, whether or not the relay
heard of it; `drain_grace` later nothing more may go to an endpoint that drains or is gone. So the list that a
relay has is good for the sum of both since discovery confirmed it last. Where the settings name no such
times, as in the simulator, the list is good for ever.

Discovery serves all relays in turn. A call that follows an answer at once continues its watch and costs it
little; a call anew costs it a full turn, and calls that come faster than it can serve only make all of them
time out. So watches wait for a short time, which shows a silent one soon, and one call is under way at a
time, repeated soon at first and then ever less often.

Times are whole nanoseconds of the caller's clock.
"""

MS = 1_000_000
S = 1000 * MS

HELD_UP = 150 * MS  # a process may be held up so long between reading its clock and writing
CALLS_IN_ASK_WITHIN = 4
LONGEST_WAIT = 1 * S  # of a call that continues a watch
LATE_AFTER, LATEST_AFTER = 1 * S, 3500 * MS  # a watch's answer is late so long behind its wait, within these
SPREAD = 250 * MS  # watches of many relays that fell silent together are not called anew together
NEW_LATE_AFTER, NEW_LATEST_AFTER = 2200 * MS, 10 * S  # the same for a call anew; discovery may be slow
USUAL_TIMES, FORGET = 1.5, 0.9  # late is so many times what answers took; that fades by each answer
FIRST_RETRY_AFTER = 1 * S  # at the most, and three quarters of it at the least
TAKEN_FOR_DOWN_AFTER = 8 * S  # of failures: a crowded discovery takes a call of every relay sooner
RESTART_TAKES = 4500 * MS  # from the last answer to one life until the next one starts, at the most


class EndpointListSchedule:
    """Plans calls for the list from what became of earlier ones."""

    def __init__(self, terms, draw):
        """`terms`: told_within, moved_told_within, drain_grace and ask_within are read; `draw(low, high)`: a
        random number."""
        self.draw = draw
        self.ask_within = terms.get("ask_within", 10 * S)
        # Each answer ends a call; else one watch stands until it fails.
        self.is_polled = "told_within" in terms
        self.usable_for = None
        if self.is_polled and "drain_grace" in terms:
            self.usable_when_spoilt = terms["drain_grace"] - HELD_UP
            self.usable_for = terms["told_within"] + terms["drain_grace"] - HELD_UP
            self.usable_when_moved = terms["moved_told_within"] + terms["drain_grace"] - HELD_UP
        self.usable_until = None  # None where nothing limits it
        self.answer_takes = 0  # discovery's time for an answer, beside its wait; the longest of late
        self.late_in_a_row = 0  # calls anew that brought no answer, and none that was turned away since
        self.watch_stands = False  # the last call was answered, the next one continues it
        self.failures = 0  # calls in a row that brought no answer in time, the silent watch not counted
        self.failing_since = None
        self.went_down = False  # discovery said so, and has not answered since
        self.calls_again_at_once = False

    def restored(self, now):
        """The list is the one that the last life had."""
        self.confirm(now - RESTART_TAKES)

    def memory(self):
        """What the next life is to know while calls fail, for `recall`; empty while discovery answers."""
        has_failed = self.failing_since is not None or self.went_down
        return [self.usable_until, self.went_down] if has_failed else []

    def recall(self, told):
        """A restart makes the list no younger. A discovery that said it goes down is down for the next life
        too; one that only failed has to fail anew for that long, as it may be crowded."""
        usable_until, self.went_down = told
        if usable_until is not None and self.usable_until is not None:
            self.usable_until = min(self.usable_until, usable_until)

    def answered(self, now, as_of):
        """Discovery answered: the list was its own at `as_of`."""
        self.answer_takes = max(now - as_of, self.answer_takes * FORGET)
        self.watch_stands, self.failures, self.late_in_a_row = True, 0, 0
        self.failing_since, self.went_down = None, False
        self.confirm(as_of)

    def confirm(self, as_of):
        if self.usable_for is not None:
            self.usable_until = max(self.usable_until or 0, as_of + self.usable_for)

    def failed(self, now, is_late=False):
        """A call was turned away, broke, or is late."""
        self.late_in_a_row = self.late_in_a_row + 1 if is_late and not self.watch_stands else 0
        self.failures += not self.watch_stands
        self.watch_stands = False
        if self.failing_since is None:
            self.failing_since = now

    def ended(self, now):
        """Discovery ended a watch: it goes down, and the list was its own until then."""
        self.failed(now)
        self.went_down = True
        if self.usable_for is not None:
            self.usable_until = now + self.usable_for

    def spoilt(self, now, written_at):
        """An answer came that can't be read, or not to its end. What it told counts as told."""
        self.calls_again_at_once = self.failing_since is None
        self.failed(now)
        if self.usable_until is not None:
            self.usable_until = min(self.usable_until, written_at + self.usable_when_spoilt)

    def moved(self, now):
        """Discovery is at another address: failures at the old one say nothing of the new one."""
        self.watch_stands, self.failures, self.late_in_a_row = False, 0, 0
        self.failing_since, self.went_down = None, False
        if self.usable_until is not None:
            self.usable_until = min(self.usable_until, now + self.usable_when_moved)

    def is_unusable(self, now):
        """Whether the list may be out of date by now, so that nothing may be sent by it. A discovery that is
        down tells nobody anything, so its last list holds; but a crowded one turns calls away just so."""
        return self.usable_until is not None and now >= self.usable_until and not self.is_down(now)

    def is_down(self, now):
        return self.went_down or (self.failing_since is not None and now >= self.taken_for_down_at())

    def taken_for_down_at(self):
        """When failures have lasted so long that discovery is down; only while they last."""
        return self.failing_since + TAKEN_FOR_DOWN_AFTER

    def call_wait(self):
        """How long the next call may wait for news; one anew may not, as its answer confirms the list."""
        longest = self.ask_within // CALLS_IN_ASK_WITHIN
        if not self.is_polled:
            return longest
        return min(longest, LONGEST_WAIT) if self.watch_stands else 0

    def late_after(self):
        """When the next call counts as failed if no answer came, from now."""
        if not self.is_polled:
            return int(self.draw(0.5, 1.0) * self.ask_within / 3)
        usual = int(self.answer_takes * USUAL_TIMES)
        if self.watch_stands:
            margin = min(max(LATE_AFTER, usual), LATEST_AFTER)
            return self.call_wait() + margin + int(self.draw(0, SPREAD))
        return min(max(NEW_LATE_AFTER << max(0, self.late_in_a_row - 1), usual), NEW_LATEST_AFTER)

    def retry_after(self):
        """When to call again behind a failure, from now; calls of many relays must not fall together."""
        if self.calls_again_at_once:
            self.calls_again_at_once = False
            return 0
        if self.is_polled and self.failures <= 1:
            return int(self.draw(0.75, 1.0) * FIRST_RETRY_AFTER)
        return int(self.draw(0.5, 1.0) * min(S << self.failures, self.ask_within // 3))
