"""The HTTP state machines, and the parsing of headers, lists, load reports and the configuration."""

import contextlib
import gc
import weakref

import orjson
import pytest
from helpers import MS, S, run_counted

from courseroute.run import config
from courseroute.wire import http, protocol
from courseroute.wire.discovery import Watch
from courseroute.wire.http import HttpClientState, ProtocolError, ServerConnection

POST = (
    b"POST /order/x?subject=k HTTP/1.1\r\nHost: r\r\nX-Request-Id: m1\r\nX-Deadline: 1500m\r\n"
    b"Envelope: dest=07\r\nIdempotency-Key: q\r\nContent-Length: 5\r\n\r\nhe\0lo"
)
BAD_ANSWER = b"HTTP/1.1 200 OK\r\nno field\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7, 64, len(POST) - 1, len(POST), 2 * len(POST)])
def test_a_request_is_the_same_however_its_bytes_are_split(size):
    http, found, data = ServerConnection(4096, 100), [], POST * 2
    for at in range(0, len(data), size):
        http.feed(data[at : at + size])
        while request := http.next():
            found.append((request.method, request.target, bytes(request.body)))
            assert http.answer(202).startswith(b"HTTP/1.1 202 ")
    assert found == [("POST", "/order/x?subject=k", b"he\0lo")] * 2 and not http.begun


def test_a_body_read_at_once_is_a_slice_of_the_buffer_it_came_in():
    http, chunk = ServerConnection(4096, 100), POST + POST[:20]
    http.feed(chunk)
    body = http.next().body
    assert isinstance(body, memoryview) and body.obj is chunk and body == b"he\0lo"


# Guards against heads of very many fields: each took milliseconds to parse, and 0.3 MB while its body came.
@pytest.mark.parametrize("size", [100, 16_000])
@pytest.mark.parametrize("count, status", [(100, None), (101, 431), (2600, 431)])
def test_a_head_of_too_many_fields_is_refused_before_it_is_parsed(size, count, status):
    head = b"POST /n HTTP/1.1\r\nHost: r\r\n" + b"".join(b"%x:\r\n" % n for n in range(count - 1)) + b"\r\n"

    def read():
        connection = ServerConnection(16_384, 65_536)
        for at in range(0, len(head), size):
            connection.feed(head[at : at + size])
            if request := connection.next():
                return len(request.headers)

    if status is None:
        assert read() == count
    else:
        with pytest.raises(ProtocolError) as refused:
            run_counted(read, 2000)
        assert refused.value.status == status


# Guards against a connection that keeps the bytes of its last read while it waits.
def test_a_waiting_connection_keeps_no_second_copy_of_what_it_has_read():
    connection = ServerConnection(16_384, 65_536)
    connection.feed(POST.replace(b"Length: 5", b"Length: 60000") + b"x" * 30_000)
    assert connection.next() is None and connection.last_read == b"" and len(connection.body) > 30_000
    connection.feed(b"x" * (30_000 - 5) + POST[:9])
    assert len(connection.next().body) == 60_000 and connection.answer(202)
    assert connection.next() is None and not connection.last_read and not connection.body


# Guards against memory that grows under noise at full speed, as ended connections wait to be collected.
@pytest.mark.parametrize("machine, noise", [(ServerConnection, b"\r\n"), (HttpClientState, BAD_ANSWER)])
def test_a_connection_that_ends_in_an_error_is_freed_at_once(machine, noise):
    connection = machine(16_384, 65_536)
    freed = weakref.ref(connection.h11)
    gc.disable()
    try:
        with pytest.raises(ProtocolError):
            connection.feed(noise)
            connection.next()
        del connection
        assert freed() is None
    finally:
        gc.enable()


# Guards against bodies of very many tiny chunks: one read of them held the relay up for 0.15 s.
def test_a_body_of_tiny_chunks_is_parsed_in_turns_and_refused():
    head = b"POST /n HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection, turns = ServerConnection(16_384, 65_536), 0
    connection.feed(head + b"1\r\nx\r\n" * 10_000)
    with pytest.raises(ProtocolError) as refused:
        run_counted(lambda: connection.next(20), 6_000)
    assert refused.value.status == 400
    connection = ServerConnection(16_384, 65_536)
    connection.feed(head + b"10\r\n0123456789abcdef\r\n" * 200 + b"0\r\n\r\n")
    while (request := run_counted(lambda: connection.next(32), 12_000)) is None:
        assert connection.has_more
        turns += 1
    assert len(request.body) == 200 * 16 and turns == 202 // 32


@pytest.mark.parametrize(
    "data, outcome",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", (200, True, True)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", (200, True, False)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", (200, False, False)),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", (503, True, True)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 again", (200, True, False)),
        (b"SSH-2.0 hello\r\n\r\n", ProtocolError),
        (b"", ProtocolError),
        (b"HTTP/1.1 2", (None, False, False)),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 9000, ProtocolError),
        (b"HTTP/1.1 OK 200\r\n", ProtocolError),
        (b"\0noise", ProtocolError),
        (b"HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\nx", ProtocolError),
        (b"HTTP/1.1 500 No\r\nContent-Length: " + b"9" * 2000 + b"\r\n\r\nx", ProtocolError),
    ],
)
def test_an_answer_in_one_read_or_byte_by_byte(data, outcome):
    for size in (1, len(data) or 1):
        call = HttpClientState(4096, 100)
        call.begin("POST", "/hook", [("Host", "h")], b"body")

        def receive(call=call, size=size):
            for at in range(0, len(data) or 1, size):
                call.feed(data[at : at + size])
            return call.status, call.done, call.reusable()

        if outcome is ProtocolError:
            with pytest.raises((ProtocolError, EOFError)):
                receive()
        elif size > 1 or outcome[2]:
            assert receive() == outcome


@pytest.mark.parametrize(
    "data, first, conclusive",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", 200, False),
        (b"HTTP/1.1 200 OK\r\nX: y", 200, False),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", 200, False),
        (b"HTTP/1.1 200", None, False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 200, True),
        (b"HTTP/1.1 20\r\n\r\n", None, False),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx", 503, False),
        (b"ok 200\r\n", None, False),
        (b"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nbad", 200, False),
        (b"HTTP/1.1 103 Hints\r\n\r\n", None, False),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", 503, True),
    ],
)
def test_the_status_line_counts_though_the_rest_is_malformed(data, first, conclusive):
    call = HttpClientState(4096, 100)
    call.begin("POST", "/hook", [("Host", "h")])
    with contextlib.suppress(ProtocolError):
        call.feed(data)
    assert (call.first_line_status, call.conclusive) == (first, conclusive)


# Guards against a status line that comes in small pieces and is searched from its start with each of them.
def test_a_status_line_is_searched_only_once_it_is_complete(monkeypatch):
    searched = []

    class Counted:
        def match(self, head, pattern=http.FIRST_LINE):
            searched.append(len(head))
            return pattern.match(head)

    monkeypatch.setattr(http, "FIRST_LINE", Counted())
    call, line = HttpClientState(4096, 100), b"HTTP/1.1 200 " + b"x" * 2000 + b"\r\n"
    call.begin("POST", "/hook", [("Host", "h")])
    for at in range(len(line)):
        call.feed(line[at : at + 1])
    assert call.first_line_status == 200 and sum(searched) == len(line)


def request_of(change=b"", to=b""):
    """The request POST, parsed, with one text replaced."""
    http = ServerConnection(4096, 100)
    http.feed(POST.replace(change, to) if change else POST)
    return http.next()


@pytest.mark.parametrize(
    "change, to, told",
    [
        (b"", b"", {}),
        (b"1500m", b"2500u", {"time_left": 2_500_000}),
        (b"1500m", b"0.5m", {"time_left": 500_000}),
        (b"?subject=k", b"", {"key": ""}),
        (b"Host: r", b"X-Retry: again\r\nHost: r", {"again": True}),
        (b"Host: r", b"X-Tenant: acme\r\nHost: r", {"customer": "acme"}),
        (b"/order/x", b"/never", 404),
        (b"Host: r", b"X-Class: notice\r\nHost: r", 400),
        (b"m1", b"m" * 200, 400),
        (b"m1", b"", 400),
        (b"dest=07", b"dest=-1", 400),
        (b"Envelope: ", b"Other: ", 400),
        (b"X-Deadline: ", b"Other: ", 400),
        (b"1500m", b"1500", 400),
        (b"1500m", b"1e3m", 400),
        (b"POST", b"PUT", 405),
    ],
)
def test_a_clients_request_as_message_fields(change, to, told):
    usual = {
        "name": "m1",
        "dst": "7",
        "lane": "order",
        "time_left": 1500 * MS,
        "mark": "q",
        "customer": "",
        "again": False,
        "key": "k",
        "body": b"he\0lo",
    }
    if isinstance(told, int):
        with pytest.raises(ProtocolError) as refused:
            protocol.parse_message(request_of(change, to), {"order": {}, "notice": {}}, 100)
        assert refused.value.status == told
    else:
        assert (
            protocol.parse_message(request_of(change, to), {"order": {}, "notice": {}}, 100) == usual | told
        )


@pytest.mark.parametrize(
    "status, headers, ending",
    [
        (200, {}, ("delivered", 0, True)),
        (500, {}, ("error", 0, False)),
        (302, {}, ("error", 0, False)),
        (429, {"wait-ms": "750"}, ("full", 750 * MS, False)),
        (429, {}, ("full", 0, False)),
        (429, {"wait-ms": "soon"}, ("full", 0, False)),
        (503, {}, ("full", 0, False)),
        (503, {"slots-taken": "1"}, ("unsent", 0, False)),
        (504, {}, ("unsent", 0, False)),
        (410, {}, ("unsent", 0, True)),
    ],
)
def test_a_hosts_answer_as_ending(status, headers, ending):
    assert protocol.classify_answer(status, headers) == ending


@pytest.mark.parametrize(
    "text, report",
    [
        ("TEXT x0=0.4, x1=25", {"left": 0.4, "limit": 25.0}),
        ("TEXT x0=0.4", None),
        (None, None),
        ("TEXT x0=e, x1=1", None),
        ("x0=0.1, x1=-5", None),
        ("x0=0.1, x1=1e999", None),
        ("TEXT x0=0,x1=0", {"left": 0.0, "limit": 0.0}),
    ],
)
def test_load_reports(text, report):
    assert protocol.parse_load_report(text) == report


# Guards against a relay that stands still over each long load report: the search took time by its square.
@pytest.mark.parametrize("noise", ["a", "a ", "a=", " ", "x0=1"])
def test_a_long_load_report_is_not_searched(noise):
    long_noise = noise * 6_000
    assert protocol.parse_load_report(long_noise + " x0=0.4, x1=25") is None
    assert protocol.parse_load_report("x0=0.4, x1=25 " + long_noise) is None


def test_a_load_report_of_a_word_without_a_figure_is_searched_once_for_a_word():
    """Each start of a search at a letter inside a word would read the rest of the word again."""
    word = "a" * (protocol.MAX_REPORT_LENGTH - 20)
    starts = [at for at in range(len(word)) if protocol.REPORT_FIELD.match(word + "=1", at)]
    assert starts == [0]
    assert protocol.parse_load_report(f"{word} x0=0.4, x1=25") == {"left": 0.4, "limit": 25.0}


ENTRY = {"name": "h", "address": "127.0.0.1:80", "zone": "z", "type": "k", "group": 3, "status": "leaving"}


def test_a_watch_continues_from_its_version_and_requests_the_whole_list_after_a_malformed_answer():
    watch = Watch(False, 4)
    assert watch.target(2 * S) == "/v1/endpoints?index=4&wait=2000"
    told = orjson.dumps({"index": 5, "snapshot": False, "endpoints": [ENTRY]})
    entry = ("h", "draining", "z", None, "k", "3")
    assert watch.parse_answer(200, told) == ["changes", [entry], {"h": ("127.0.0.1", 80)}]
    for status, body in ((503, b""), (200, told)):  # a failed call leaves the version as it is
        assert watch.index == 5
        if status == 200:
            watch.parse_answer(status, body)
        else:
            with pytest.raises(ValueError):
                watch.parse_answer(status, body)
    for body in (b"", b"[]", b"{}", b'{"index":6,"endpoints":[{}]}', b'{"index":6,"endpoints":7}'):
        watch.index = 5
        with pytest.raises(ValueError):
            watch.parse_answer(200, body)
        assert watch.target(S) == "/v1/endpoints"


@pytest.mark.parametrize(
    "settings, expected",
    [
        (
            {
                "discovery": "pushed",
                "kinds": ["k", "l"],
                "family-info": {"per-call": [5, 1], "routes-apart": [True, False], "call-slots": 9},
            },
            {
                "ask": True,
                "slots": 9,
                "kinds": {"k": {"apart": True, "per_call": 1}, "l": {"apart": False, "per_call": 1}},
            },
        ),
        (
            {"tick": 5000, "permissions": {"idle-close": 10_000_000, "retry-after": False, "cancel": True}},
            {"tick": 5 * MS, "idle_close": 10 * S, "stay_away": 0, "cancel": True},
        ),
        (
            {
                "grades": [
                    {"name": "a b", "effect": "token", "deadline": 7, "worth": 2.0, "by-arrival": True}
                ],
                "parties": [{"name": "t", "quota-per-s": 2.5}],
            },
            {
                "customers": {"t": 2.5},
                "lanes": {"a b": {"effect": "keyed", "deadline": 7000, "value": 2.0, "ordered": True}},
            },
        ),
    ],
)
def test_the_configuration_read_at_start(tmp_path, settings, expected):
    told = {
        "name": "n",
        "listen": "127.0.0.4:8081",
        "discovery": "127.0.0.1:8500",
        "seed": "ff",
        "known": None,
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": settings,
    }
    (tmp_path / "c").write_bytes(orjson.dumps(told))
    read = config.read({"ROUTER_CONFIG": str(tmp_path / "c"), "ROUTER_STATE": "/s"})
    assert expected.items() <= read["terms"].items()
    assert (read["listen"], read["seed"], read["disk"]) == (("127.0.0.4", 8081), 255, 3_000_000)
