"""Decisions that have modules of their own beside `courseroute.decide`. They do no I/O and read no clock."""
