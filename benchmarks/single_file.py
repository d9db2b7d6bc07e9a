"""The single-file log of version 0.1, kept as the baseline of `journal.py`; the relay does not use it.

A record is its length, a checksum, its kind, then its fields: a line of JSON, and behind it the body where
there is one. It is written whole before anything it tells of is done. A torn or foreign end is cut off when
the log is read. Compaction writes the live records to a second file and puts it in the first one's place.
"""

import os
import struct
import zlib

import orjson

HEAD = struct.Struct("<IIc")
TAKEN, CALL, BACK, OWED, OVER, MEMORY = b"T", b"C", b"B", b"N", b"O", b"M"


class Full(Exception):
    """The record does not fit, or could not be written."""


def record(kind, told, body=b""):
    text = orjson.dumps(told) + b"\n"
    check = zlib.crc32(body, zlib.crc32(text, zlib.crc32(kind)))
    return b"".join((HEAD.pack(len(text) + len(body), check, kind), text, body))


def records(data):
    """(end, kind, fields, body) of each whole record, up to the first that is torn."""
    at, view = 0, memoryview(data)
    while at + HEAD.size <= len(data):
        size, check, kind = HEAD.unpack_from(data, at)
        part = view[at + HEAD.size : at + HEAD.size + size]
        if len(part) < size or zlib.crc32(part, zlib.crc32(kind)) != check:
            return
        line = data.index(b"\n", at + HEAD.size)
        at += HEAD.size + size
        yield at, kind, orjson.loads(data[at - size : line]), bytes(view[line + 1 : at])


class Log:
    def __init__(self, folder, most, live_share, log_share):
        self.path, self.spare = os.path.join(folder, "log"), os.path.join(folder, "log.new")
        self.most_live, self.most_log = int(most * live_share), int(most * log_share)
        self.file, self.size, self.live = None, 0, 0
        self.alive = None  # a method that yields the records of all that is live
        self.compacted = 0

    def read(self):
        """The records of earlier lives; goes on writing behind the last whole one."""
        if os.path.exists(self.spare):
            os.unlink(self.spare)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        with open(self.path, "rb") as file:
            found = list(records(file.read()))
        self.size = found[-1][0] if found else 0
        self.cut(self.size)
        return [told[1:] for told in found]

    def room(self, size):
        """Whether a message with so many bytes may still be taken on."""
        return self.live + size <= self.most_live

    def write(self, *parts):
        """Writes whole records, or raises Full with nothing of them left behind."""
        data = b"".join(parts)
        if self.file is None or self.size + len(data) > self.most_log:
            self.compact()
        if self.size + len(data) > self.most_log:
            raise Full("the log is full")
        self.put(data)

    def put(self, data):
        start, view = self.size, memoryview(data)
        try:
            while view:
                view = view[os.write(self.file, view) :]
        except OSError as cause:
            self.cut(start)
            raise Full(str(cause)) from None
        self.size += len(data)

    def cut(self, size):
        try:
            os.ftruncate(self.file, size)
            os.lseek(self.file, size, os.SEEK_SET)
        except OSError:
            os.close(self.file)
            self.file = None

    def compact(self):
        old, old_size = self.file, self.size
        try:
            self.file = os.open(self.spare, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        except OSError as cause:
            raise Full(str(cause)) from None
        self.size = 0
        try:
            for part in self.alive():
                self.put(part)
            os.rename(self.spare, self.path)
        except (Full, OSError) as cause:
            if self.file is not None:
                os.close(self.file)
            self.file, self.size = old, old_size
            raise Full(str(cause)) from None
        if old is not None:
            os.close(old)
        self.compacted += 1

    def close(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None
