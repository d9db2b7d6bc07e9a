"""The journal's format, down to the byte. No I/O.

A segment begins with a header of 32 bytes: the mark `courjrnl`, format version and 0 (two bytes each), the
segment's number (eight), xxh32 of the relay's name (four), a random salt (four), xxh32 of the 28 bytes before
it. Records follow: the mark C0 DE, the kind (one byte), 0, the size of what follows (four), its xxh32 seeded
with the salt and the kind (four); then the fields as a line of JSON, and a body where there is one. Numbers
are little-endian. The salt is known to nobody outside: no client's body can hold what a reader that looks for
the next good record behind a damaged one would take for one.
"""

import struct
from typing import NamedTuple

import orjson
from xxhash import xxh32_intdigest

VERSION = 1
HEADER = struct.Struct("<8sHHQIII")
HEAD = struct.Struct("<2scBII")
MARK, RECORD = b"courjrnl", b"\xc0\xde"
SALT_AT = 24  # where the salt stands in the header
MOST = 1 << 24  # no record is larger
TAKEN, CALL, BACK, OWED, OVER, MEMORY = b"T", b"C", b"B", b"N", b"O", b"M"
PASSED = 64  # records passed over between two looks at the clock
KINDS = (TAKEN, CALL, BACK, OWED, OVER, MEMORY)


class Newer(Exception):
    """A file of a version that this program does not know: it is left as it is."""


class Found(NamedTuple):
    """One stretch of a segment: a record, or (kind None) bytes that are none; `torn`: its end is missing."""

    at: int
    end: int
    kind: bytes | None
    told: list | None = None
    body: bytes = b""
    torn: bool = False


def header(number, relay, salt):
    text = HEADER.pack(MARK, VERSION, 0, number, xxh32_intdigest(relay.encode()), salt, 0)[:-4]
    return text + struct.pack("<I", xxh32_intdigest(text))


def header_of(data, name=""):
    """The segment's number, None where the header is none; Newer where its version is unknown."""
    if len(data) < HEADER.size or data[:8] != MARK:
        return None
    _, version, _, number, _, _, check = HEADER.unpack_from(data)
    if xxh32_intdigest(data[: HEADER.size - 4]) != check:
        return None
    if version > VERSION:
        raise Newer(f"{name}: format {version}; this program reads up to {VERSION}")
    return number


class Record:
    """A record that is to be written; its bytes depend on the segment it comes to stand in."""

    __slots__ = ("kind", "told", "text", "size")

    def __init__(self, kind, told, body=b""):
        self.kind, self.told, self.text = kind, told, b"%b\n%b" % (orjson.dumps(told), body)
        self.size = HEAD.size + len(self.text)

    def __len__(self):
        return self.size

    def sealed(self, salt):
        kind, text = self.kind, self.text
        return HEAD.pack(RECORD, kind, 0, len(text), xxh32_intdigest(text, salt ^ kind[0])) + text


def check_of(text, kind, salt):
    return xxh32_intdigest(text, salt ^ kind[0])


record = Record


def salt_of(data):
    return HEADER.unpack_from(data)[5]


def whole(data, at, salt):
    """The record that begins there, None where none does; IndexError where its end is missing."""
    if len(data) - at < HEAD.size:
        if data[at : at + 2] in (RECORD, RECORD[:1]) or at == len(data):
            raise IndexError
        return None
    mark, kind, nought, size, check = HEAD.unpack_from(data, at)
    if mark != RECORD or nought or size > MOST or kind not in KINDS:
        return None
    end = at + HEAD.size + size
    if end > len(data):
        raise IndexError
    text = data[at + HEAD.size : end]
    if check_of(text, kind, salt) != check:
        return None
    line = text.find(b"\n")
    try:
        return Found(at, end, kind, orjson.loads(text[:line]), text[line + 1 :])
    except ValueError:
        return None


def scan(data, at=HEADER.size):
    """Every stretch of a segment in order: good records, and what lies between them that is none."""
    salt = salt_of(data)
    while at < len(data):
        try:
            found = whole(data, at, salt)
        except IndexError:
            found = None
            if (then := resync(data, at + 1, salt)) is None:  # nothing behind it: a write that was cut off
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
    """Yields the records of one kind in a segment that should be whole; others are passed over unread, with
    a None now and then to look at the clock. ValueError where the segment turns out not to be whole."""
    passed, salt = 0, salt_of(data)
    while at < len(data):
        if len(data) - at < HEAD.size:
            raise ValueError("a torn head")
        mark, kind, nought, size, _ = HEAD.unpack_from(data, at)
        if mark != RECORD or nought or kind not in KINDS or at + HEAD.size + size > len(data):
            raise ValueError("no record's head")
        if kind == wanted:
            one = whole(data, at, salt)
            if one is None:
                raise ValueError("a damaged record")
            yield one
        passed += 1
        if passed % PASSED == 0:
            yield None
        at += HEAD.size + size


def resync(data, at, salt):
    """Where the next good record begins, None where none does."""
    while (at := data.find(RECORD, at)) >= 0:
        try:
            if whole(data, at, salt):
                return at
        except IndexError:
            pass
        at += 1
    return None
