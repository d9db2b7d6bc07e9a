"""Decisions in modules of their own, beside `courseroute.decide`; free of I/O and clocks."""
