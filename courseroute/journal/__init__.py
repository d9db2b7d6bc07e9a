"""What outlasts the process: the journal of messages in segments, and what was learned of the partners.

Called by the desk (`state.desk`), which alone knows what a message is; by `run.relay`, which gives it time to
compact and to sync; by the command line's `journal` tools. `frames` is the format, `plan` decides what is
compacted and when (no I/O, no clock), `store` is the journal itself, `disk` the file system's seam, `learned`
the file of what was learned, `old` reads the single-file log of earlier versions.
"""
