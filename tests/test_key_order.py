"""A relay process keeps the order of a key, also behind a message that ends with a notice."""

import pytest
from helpers import GRADES, RelayUnderTest, wait_until

from courseroute.emulator.proxy import Proxy

LANE = "in-turn"
GRADE = GRADES[1] | {"name": LANE, "window": 1_500_000, "by-arrival": True}


@pytest.fixture
def town(tmp_path):
    """A relay with an ordered class, whose calls to the platform take 0.2 s longer on their way."""
    town = RelayUnderTest(tmp_path)
    town.settings = town.settings | {"grades": [*GRADES, GRADE]}
    proxy = Proxy(town.discovery)
    town.discovery = proxy.address
    town.start()
    proxy.late_s = 0.2
    yield town
    town.close()
    proxy.close()


def submit_of_key(town, name, key):
    headers = {"X-Request-Id": name, "X-Class": LANE, "X-Deadline": "8000m", "Envelope": "dest=7"}
    return town.ask("POST", f"/{LANE}?subject={key}", headers | {"Idempotency-Key": name}, b"x")[0]


# Guards against a message sent while the platform has not heard that the one ahead in its key has failed.
def test_the_next_of_a_key_is_sent_once_the_platform_has_the_notice_of_a_failed_one(town):
    known = {}

    def plan(call):
        known.setdefault(call["id"], [notice["id"] for notice in town.notices])
        return "hang" if call["id"] == "a" else (200, {})

    town.plan = plan
    assert [submit_of_key(town, name, "k") for name in ("a", "b", "c")] == [202] * 3
    assert submit_of_key(town, "z", "other") == 202
    assert wait_until(lambda: "c" in known)
    assert known == {"a": [], "z": [], "b": ["a"], "c": ["a"]}
