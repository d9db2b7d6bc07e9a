"""A message that a relay has accepted, with its attempts, and the journal records that restore it."""

from dataclasses import dataclass, field

from courseroute.journal import frames as records
from courseroute.journal.frames import record


@dataclass(slots=True, eq=False)
class HeldMessage:
    """A message that has no final state yet. Times are nanoseconds of the relay's clock."""

    name: str
    dst: str
    lane: str
    deadline: int
    body: bytes
    idempotency_key: str
    key: str | None  # messages with the same ordering key are sent in the order of `accepted_at`
    customer: str
    is_retry: bool
    accepted_at: int = 0
    persisted: bool = field(default=False, init=False)
    attempts: list = field(default_factory=list, init=False)  # each [host, sent at, ending or None]
    ending: tuple | None = field(default=None, init=False)  # (state, delay until the client tries again)
    size: int = field(default=0, init=False)  # bytes reserved in the journal, all possible attempts included
    final_answer_due: int = field(init=False)  # when it must be started, to arrive before the deadline
    unread: int = field(
        default=0, init=False
    )  # how long its request waited in the socket; not in the journal

    def __post_init__(self):
        self.final_answer_due = self.deadline

    def record(self):
        """The journal record of its acceptance."""
        return record(
            records.TAKEN,
            [
                self.name,
                self.dst,
                self.lane,
                self.deadline,
                self.idempotency_key,
                self.key,
                self.customer,
                self.is_retry,
                self.accepted_at,
            ],
            self.body,
        )

    def records(self):
        """The journal records of its acceptance and of all its attempts."""
        return [
            self.record(),
            *(
                record(records.CALL, [self.name, n, host, at, ending])
                for n, (host, at, ending) in enumerate(self.attempts)
            ),
        ]
