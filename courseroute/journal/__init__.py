"""Persistent state: the segmented journal of messages, and the state learned about partners.

Called by the tracker (`state.tracker`), which interprets the messages; by `run.relay`, which schedules
compaction and syncs; by the command line's `journal` tools. `frames` is the format, `plan` decides what to
compact and when (no I/O, no clock), `store` is the journal itself, `disk` the file system interface,
`learned` the file of learned state, `old` reads the single-file log of earlier versions.
"""
