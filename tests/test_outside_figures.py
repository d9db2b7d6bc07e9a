"""Absurd figures and texts from discovery, the settings and the folder: none ends or stops a relay."""

import pytest
from helpers import run_counted

from courseroute.model.terms import parse_settings


# Guards against a start or a SIGHUP that never ends: the settings' own count of a list was counted up to.
@pytest.mark.parametrize("path", ["parties.count", "grades.count"])
def test_a_count_in_the_settings_is_no_more_than_the_settings(path):
    told = {path: "30000000", "grades.0.name": "a", "parties.0.quota-per-s": "2"}
    terms = run_counted(lambda: parse_settings(told))
    assert len(terms["lanes"]) <= 2 and len(terms["customers"]) <= 1
