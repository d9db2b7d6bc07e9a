"""Why a message was closed without a delivery, an attempt not sent, a connection to a host closed."""

import enum


class CloseCause(enum.StrEnum):
    """Why a message got a final status other than delivered."""

    NO_DESTINATION = "destination not listed"
    CAPACITY_EXCEEDED = "no room"
    TOO_LATE = "no time left for an attempt"
    BOOKED_TOO_LATE = "booked past its time"
    WINDOW_CLOSED = "idempotency window closed"
    MAY_HAVE_RUN = "may have run"
    NO_ATTEMPT_LEFT = "no attempt left"
    DEADLINE = "deadline"
    SHUTTING_DOWN = "relay stops"
    NOT_READY = "relay not ready"
    CLIENT_GONE = "client gone"
    JOURNAL_UNWRITABLE = "journal cannot be written"


class HoldCause(enum.StrEnum):
    """Why an attempt whose connection is up may not be sent."""

    CLOSED = "message closed"
    ADDRESS_CHANGED = "endpoint has another address"
    HANDING_OVER = "successor takes over"
    NOT_LISTED = "endpoint draining or gone"
    TAKEN_OUT = "endpoint taken out by an operator"
    LIST_TOO_OLD = "endpoint list may be out of date"
    TOLD_WAIT = "told to wait"
    WINDOW_CLOSED = "idempotency window closed"
    NO_CONNECTION = "endpoint gone or no room for a connection"


class ConnectionCloseCause(enum.StrEnum):
    """Why the relay closed a connection to a host."""

    ENDED_BY_HOST = "ended by the host"
    UNEXPECTED_BYTES = "bytes behind an answer"
    HOST_NOT_TRUSTED = "its host sends bytes behind answers"
    IDLE_TIMEOUT = "idle for long"
    EVICTED = "room needed"
    CONNECTIONS_UNRELIABLE = "calls to this kind of host get lost"
    ADDRESS_CHANGED = "endpoint gone or at another address"
    HANDED_OVER = "folder handed over"
    ATTEMPT_HELD = "attempt not sent"
    EQUAL_ANSWER = "answer equals the one before"
    INCOMPLETE_ANSWER = "no whole answer"
    ANSWER_ASKS_CLOSE = "answer says close"
