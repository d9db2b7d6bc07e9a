"""Reads the single-file log of versions up to 0.2: records up to the first incomplete one."""

import struct
import zlib

import orjson

NAME, SPARE = "log", "log.new"
HEAD = struct.Struct("<IIc")


def records(data):
    """(kind, fields, body) of each complete record."""
    at = 0
    while at + HEAD.size <= len(data):
        size, check, kind = HEAD.unpack_from(data, at)
        part = data[at + HEAD.size : at + HEAD.size + size]
        if len(part) < size or zlib.crc32(part, zlib.crc32(kind)) != check or b"\n" not in part:
            return
        text, _, body = part.partition(b"\n")
        at += HEAD.size + size
        yield kind, orjson.loads(text), body


def record(kind, fields, body=b""):
    """One record in the format of those versions, for tests of the conversion."""
    text = orjson.dumps(fields) + b"\n"
    check = zlib.crc32(body, zlib.crc32(text, zlib.crc32(kind)))
    return b"".join((HEAD.pack(len(text) + len(body), check, kind), text, body))
