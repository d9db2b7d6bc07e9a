"""The binary format of the journal. No I/O.

A segment begins with a header of 32 bytes: the magic `courjrnl`, the format version and 0 (two bytes each),
the segment's number (eight), xxh32 of the relay's name (four), a random salt (four), xxh32 of the 28 bytes
before it. Records follow: the magic C0 DE, the kind (one byte), 0, the size of what follows (four), its xxh32
seeded with the salt and the kind (four); then the fields as a line of JSON, and a body where there is one.
Numbers are little-endian. The salt never leaves the relay, so no client can send a body that would pass
for a valid record when a reader searches for the next one behind damaged bytes.
"""

import struct
from typing import NamedTuple

import orjson
from xxhash import xxh32_intdigest

VERSION = 1
HEADER = struct.Struct("<8sHHQIII")
HEAD = struct.Struct("<2scBII")
SEGMENT_MAGIC, RECORD = b"courjrnl", b"\xc0\xde"
SALT_AT = 24  # offset of the salt in the header
MAX_RECORD_BYTES = 1 << 24  # largest size of a record without its head, in bytes
MAX_MESSAGE_BYTES = 1 << 18  # the same of a record that concerns a message, with a margin
TAKEN, CALL, BACK, OWED, OVER, MEMORY = b"T", b"C", b"B", b"N", b"O", b"M"
RECORDS_PER_YIELD = 64  # records skipped between two checks of the clock
KINDS = (TAKEN, CALL, BACK, OWED, OVER, MEMORY)


class Newer(Exception):
    """The file has a newer format version than this program supports; it is left unchanged."""


class Found(NamedTuple):
    """A byte range of a segment: a record, or unreadable bytes (kind None); `torn`: cut off at the end."""

    at: int
    end: int
    kind: bytes | None
    told: list | None = None
    body: bytes = b""
    torn: bool = False


def header(number, relay, salt):
    """The header of segment `number` of the relay with that name."""
    text = HEADER.pack(SEGMENT_MAGIC, VERSION, 0, number, xxh32_intdigest(relay.encode()), salt, 0)[:-4]
    return text + struct.pack("<I", xxh32_intdigest(text))


def header_of(data, name=""):
    """The segment's number, or None if the header is invalid. Raises Newer if its version is unsupported."""
    if len(data) < HEADER.size or data[:8] != SEGMENT_MAGIC:
        return None
    _, version, _, number, _, _, check = HEADER.unpack_from(data)
    if xxh32_intdigest(data[: HEADER.size - 4]) != check:
        return None
    if version > VERSION:
        raise Newer(f"{name}: format {version}; this program reads up to {VERSION}")
    return number


class Record:
    """A record to be written. Its checksum depends on the salt of the segment it is written to."""

    __slots__ = ("kind", "told", "text", "size")

    def __init__(self, kind, told, body=b""):
        self.kind, self.told, self.text = kind, told, b"%b\n%b" % (orjson.dumps(told), body)
        self.size = HEAD.size + len(self.text)

    def __len__(self):
        return self.size

    def sealed(self, salt):
        """The bytes of the record for a segment with that salt."""
        kind, text = self.kind, self.text
        return HEAD.pack(RECORD, kind, 0, len(text), xxh32_intdigest(text, salt ^ kind[0])) + text


def checksum(text, kind, salt):
    """The checksum of a record without its head."""
    return xxh32_intdigest(text, salt ^ kind[0])


record = Record


def salt_of(data):
    """The salt in a segment's header."""
    return HEADER.unpack_from(data)[5]


def parse_record(data, at, salt):
    """The record at offset `at`, or None if there is none. Raises IndexError if the record is cut off."""
    if len(data) - at < HEAD.size:
        if data[at : at + 2] in (RECORD, RECORD[:1]) or at == len(data):
            raise IndexError
        return None
    magic, kind, zero, size, check = HEAD.unpack_from(data, at)
    if magic != RECORD or zero or size > MAX_RECORD_BYTES or kind not in KINDS:
        return None
    end = at + HEAD.size + size
    if end > len(data):
        raise IndexError
    text = data[at + HEAD.size : end]
    if checksum(text, kind, salt) != check:
        return None
    line = text.find(b"\n")
    try:
        return Found(at, end, kind, orjson.loads(text[:line]), text[line + 1 :])
    except ValueError:
        return None


def scan(data, at=HEADER.size):
    """Yields the byte ranges of a segment in order: valid records and unreadable bytes between them."""
    salt = salt_of(data)
    while at < len(data):
        try:
            found = parse_record(data, at, salt)
        except IndexError:
            found = None
            if (then := resync(data, at + 1, salt)) is None:  # no record follows: an interrupted write
                yield Found(at, len(data), None, torn=True)
                return
        else:
            then = None if found else resync(data, at + 1, salt)
        if found is None:
            end = len(data) if then is None else then
            yield Found(at, end, None)
            at = end
        else:
            yield found
            at = found.end


def skim(data, wanted, at=HEADER.size):
    """Yields the records of one kind without decoding the others, and None at intervals so that the caller
    can check the clock. Raises ValueError if the segment is damaged or cut off."""
    skipped, salt = 0, salt_of(data)
    while at < len(data):
        if len(data) - at < HEAD.size:
            raise ValueError("incomplete record head")
        magic, kind, zero, size, _ = HEAD.unpack_from(data, at)
        if magic != RECORD or zero or kind not in KINDS or at + HEAD.size + size > len(data):
            raise ValueError("invalid record head")
        if kind == wanted:
            one = parse_record(data, at, salt)
            if one is None:
                raise ValueError("damaged record")
            yield one
        skipped += 1
        if skipped % RECORDS_PER_YIELD == 0:
            yield None
        at += HEAD.size + size


def resync(data, at, salt):
    """The offset of the next valid record, or None. The bytes up to it may be a client's and full of heads,
    so a head that names more than any record of a message has is passed over without a checksum."""
    while (at := data.find(RECORD, at)) >= 0:
        try:
            if may_be_message_head(data, at) and parse_record(data, at, salt):
                return at
        except IndexError:
            pass
        at += 1
    return None


def may_be_message_head(data, at):
    """Whether what stands at offset `at` can be the head of a message's record; True if it is cut off."""
    if len(data) - at < HEAD.size:
        return True
    _, kind, _, size, _ = HEAD.unpack_from(data, at)
    return kind != MEMORY and size <= MAX_MESSAGE_BYTES
