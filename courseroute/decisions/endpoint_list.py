"""When discovery is called for the endpoint list, and how long that list may be used without confirmation.

The platform regards relays as notified of a change `notified_within` after it was made, whether or not they
received it. `drain_grace` later, no request may go to an endpoint that is draining or gone. A relay may
therefore use its list for the sum of both after discovery last confirmed it. Where the settings lack these
times, as in the simulator, the list does not expire.

Discovery serves all relays in turn. A call that directly follows an answer continues the watch and costs
discovery little. A new call costs it a full turn, and new calls that come faster than it can serve them make
all of them time out. Watches therefore wait only for a short time, so that an unresponsive discovery is
noticed soon. Only one call is open at a time, and retries start soon and back off exponentially.

A process begins with the list that its predecessor had, if that left one, and goes on as that one would have:
what is known of a list (ListKnowledge) is passed on with it. A list that came without it, such as that of the
configuration, is of unknown age. Where both are at hand, `is_configured_newer` chooses.

Times are whole nanoseconds of the caller's clock.
"""

import msgspec

MS = 1_000_000
S = 1000 * MS

MAX_PROCESS_DELAY = 150 * MS  # the process may be delayed this long between reading its clock and writing
CALLS_PER_ASK_WITHIN = 4
MAX_WATCH_WAIT = 1 * S  # wait for news of a call that continues a watch
# A watch times out this long after its wait: a multiple of the usual response time, within these bounds.
MIN_WATCH_MARGIN, MAX_WATCH_MARGIN = 1 * S, 3500 * MS
WATCH_JITTER = 250 * MS  # keeps relays whose watches time out together from all starting new calls at once
# Bounds of the timeout of a new call; discovery may be slow.
MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT = 2200 * MS, 10 * S
# Timeout as a multiple of the longest recent response time, which decays by the second factor per answer.
TIMEOUT_FACTOR, RESPONSE_TIME_DECAY = 1.5, 0.9
FIRST_RETRY_DELAY = 1 * S  # the upper bound; the lower one is three quarters of it
DOWN_AFTER = 8 * S  # time of failures; a crowded discovery accepts a call of every relay sooner
MIN_FIRST_ANSWER_TIME = 500 * MS  # for which a process waits for discovery's first answer
MAX_RESTART_TIME = 4500 * MS  # from the last answer to a process until the next process starts


class ListKnowledge(msgspec.Struct, frozen=True):
    """What a process knows of its endpoint list, in a form that outlives it."""

    as_of: int | None = None  # when discovery's list is known to have had this content; None: never
    usable_until: int | None = None  # None if the list does not expire
    failing_since: int | None = None  # start of the failures of calls; None while discovery answers
    is_down: bool = False  # discovery counts as down: it announced that, or has failed for long
    response_time: int = 0  # discovery's usual time to answer


def is_configured_newer(saved, configured):
    """Whether the list of the configuration is newer than the one that an earlier process left; both are
    pairs of discovery's address and version. Versions of different addresses can't be compared: then the list
    that this relay really had counts."""
    saved_source, saved_version = saved
    source, version = configured
    return source == saved_source and saved_version is not None and version > saved_version


class EndpointListSchedule:
    """Plans calls for the endpoint list from the results of earlier ones."""

    def __init__(self, terms, draw):
        """`terms`: notified_within, moved_notified_within, drain_grace and ask_within are read; `draw(low,
        high)` returns a random number."""
        self.draw = draw
        self.ask_within = terms.get("ask_within", 10 * S)
        # If polled, each answer ends its call; otherwise one watch stays open until it fails.
        self.is_polled = "notified_within" in terms
        self.usable_for = None
        if self.is_polled and "drain_grace" in terms:
            self.usable_after_malformed = terms["drain_grace"] - MAX_PROCESS_DELAY
            self.usable_for = terms["notified_within"] + terms["drain_grace"] - MAX_PROCESS_DELAY
            self.usable_after_move = terms["moved_notified_within"] + terms["drain_grace"] - MAX_PROCESS_DELAY
        self.usable_until = None  # None if the list does not expire
        self.as_of = None  # when discovery's list is known to have had this content
        # From when and until when a restored list whose time is over is used while no answer has come.
        self.restored_from = self.restored_until = None
        # Discovery's time to answer, without the wait: the longest recent one, decaying.
        self.response_time = 0
        self.timeouts_in_a_row = 0  # new calls that timed out since one was answered or rejected
        self.continues_watch = False  # the last call was answered, so the next one continues it
        # Calls in a row without an answer in time, not counting the watch that failed first.
        self.failures = 0
        self.failing_since = self.answered_at = None
        # Discovery announced that it shuts down, or an earlier process counted it as down, and it has not
        # answered since.
        self.counts_as_down = False
        self.retries_at_once = False

    def list_restored(self, now, knowledge=None):
        """The list was restored. `knowledge`: what the process that had it knew of it; None if that is not
        known, then the list counts as MAX_RESTART_TIME old. A list whose time is over waits for the first
        answer for as long as discovery usually takes, or until the first call fails: then discovery may be
        down, and the list is used for no longer than one of MAX_RESTART_TIME. Not where calls failed before:
        a restart extends no list's validity."""
        if knowledge is None or knowledge.as_of is None or knowledge.as_of > now:
            self.extend_use(now - MAX_RESTART_TIME)
            return
        was_answered = knowledge.failing_since is None  # else its time was over for the predecessor too
        if self.usable_for is not None and self.answered_at is None and was_answered:
            usual = int(knowledge.response_time * TIMEOUT_FACTOR)
            self.restored_from = now + min(max(MIN_FIRST_ANSWER_TIME, usual), MIN_CALL_TIMEOUT)
            self.restored_until = now - MAX_RESTART_TIME + self.usable_for
        self.as_of = knowledge.as_of
        self.counts_as_down = knowledge.is_down
        if self.usable_for is not None:
            usable_until = self.as_of + self.usable_for
            self.usable_until = min(usable_until, knowledge.usable_until or usable_until)

    def is_outdated_by(self, knowledge):
        """Whether the list of another process of this relay is newer than this one."""
        return knowledge.as_of is not None and (self.as_of is None or knowledge.as_of > self.as_of)

    def continue_failures(self, knowledge):
        """Takes over the failures of the process before, up to this moment: to both, discovery fails for as
        long as neither was answered."""
        own, earlier = self.failing_since, knowledge.failing_since
        if earlier is not None and (self.answered_at is None or self.answered_at < earlier):
            own = earlier if own is None else min(own, earlier)
        if own is not None:
            self.failing_since = max(own, knowledge.as_of or 0)

    def knowledge(self, now):
        """The ListKnowledge for the next process."""
        return ListKnowledge(
            self.as_of, self.usable_until, self.failing_since, self.is_down(now), self.response_time
        )

    def state(self):
        """State for a restarted relay, to be passed to `restore_state`; empty while discovery answers."""
        has_failed = self.failing_since is not None or self.counts_as_down
        return [self.usable_until, self.counts_as_down] if has_failed else []

    def restore_state(self, state, saved_at):
        """Restores state after a restart, which must not extend the list's validity. A discovery that
        counted as down stays down for the new process. One that failed for less than the full time has to
        fail for that time again, as it may be crowded. What was saved before discovery answered this process
        says nothing. Raises TypeError or ValueError if the state is malformed."""
        usable_until, announced_shutdown = state
        if not (usable_until is None or type(usable_until) is int) or type(announced_shutdown) is not bool:
            raise TypeError(f"{usable_until!r:.40}, {announced_shutdown!r:.40}")
        if self.answered_at is not None and self.answered_at >= saved_at:
            return
        self.counts_as_down = self.counts_as_down or announced_shutdown
        if usable_until is not None and self.usable_until is not None:
            self.usable_until = min(self.usable_until, usable_until)

    def call_answered(self, now, as_of):
        """Discovery answered; its list had this content at `as_of`."""
        self.response_time = max(now - as_of, self.response_time * RESPONSE_TIME_DECAY)
        self.answered_at = now
        self.continues_watch, self.failures, self.timeouts_in_a_row = True, 0, 0
        self.failing_since, self.counts_as_down = None, False
        self.confirm(as_of)

    def confirm(self, as_of):
        """Discovery's list had this content at `as_of`."""
        self.as_of = max(self.as_of or 0, as_of)
        self.extend_use(as_of)

    def extend_use(self, as_of):
        """The list may be used for as long as one that was current at `as_of`."""
        if self.usable_for is not None:
            self.usable_until = max(self.usable_until or 0, as_of + self.usable_for)

    def call_failed(self, now, is_late=False):
        """A call was rejected, its connection broke, or it timed out."""
        self.timeouts_in_a_row = self.timeouts_in_a_row + 1 if is_late and not self.continues_watch else 0
        self.failures += not self.continues_watch
        self.continues_watch = False
        if self.failing_since is None:
            self.failing_since = now
        if self.restored_from is not None:
            self.restored_from = min(self.restored_from, now)

    def watch_ended(self, now):
        """Discovery ended a watch: it shuts down, and its list was current until now."""
        self.call_failed(now)
        self.counts_as_down, self.as_of = True, now
        if self.usable_for is not None:
            self.usable_until = now + self.usable_for

    def answer_malformed(self, now, written_at):
        """An answer was malformed or incomplete. The platform regards its changes as received."""
        self.retries_at_once = self.failing_since is None
        self.call_failed(now)
        if self.usable_until is not None:
            self.usable_until = min(self.usable_until, written_at + self.usable_after_malformed)

    def address_changed(self, now):
        """Discovery has a new address; failures at the old one say nothing about the new one."""
        self.continues_watch, self.failures, self.timeouts_in_a_row = False, 0, 0
        self.failing_since, self.counts_as_down = None, False
        if self.usable_until is not None:
            self.usable_until = min(self.usable_until, now + self.usable_after_move)

    def is_unusable(self, now):
        """Whether the list may be out of date, so that nothing may be sent. While discovery is down, no
        relay learns of changes and the last list stays valid. A crowded discovery rejects calls in the same
        way, so it only counts as down after some time."""
        if self.usable_until is None or now < self.usable_until:
            return False
        return not self.is_down(now) and not self.may_use_restored(now)

    def may_use_restored(self, now):
        """Whether a restored list whose time is over may be used, as discovery has not answered this process
        so far."""
        if self.answered_at is not None or self.restored_from is None:
            return False
        return self.restored_from <= now < self.restored_until

    def is_down(self, now):
        return self.counts_as_down or (self.failing_since is not None and now >= self.down_from())

    def down_from(self):
        """The time at which discovery counts as down if it keeps failing. Valid only while it fails."""
        return self.failing_since + DOWN_AFTER

    def call_wait(self):
        """How long the next call may wait for news. A new call does not wait, as its answer confirms the
        list."""
        longest = self.ask_within // CALLS_PER_ASK_WITHIN
        if not self.is_polled:
            return longest
        return min(longest, MAX_WATCH_WAIT) if self.continues_watch else 0

    def call_timeout(self):
        """Time from now after which the next call counts as failed if it has no answer."""
        if not self.is_polled:
            return int(self.draw(0.5, 1.0) * self.ask_within / 3)
        usual = int(self.response_time * TIMEOUT_FACTOR)
        if self.continues_watch:
            margin = min(max(MIN_WATCH_MARGIN, usual), MAX_WATCH_MARGIN)
            return self.call_wait() + margin + int(self.draw(0, WATCH_JITTER))
        return min(max(MIN_CALL_TIMEOUT << max(0, self.timeouts_in_a_row - 1), usual), MAX_CALL_TIMEOUT)

    def retry_delay(self):
        """Time from now until the retry after a failure; random, so that the relays do not all call at
        once."""
        if self.retries_at_once:
            self.retries_at_once = False
            return 0
        if self.is_polled and self.failures <= 1:
            return int(self.draw(0.75, 1.0) * FIRST_RETRY_DELAY)
        return int(self.draw(0.5, 1.0) * min(S << self.failures, self.ask_within // 3))
