"""The laboratory: questions asked of towns, answered with tables, charts and comparisons that know noise.

Called by the command line (`courseroute lab`). It plays days through `courseroute.town` and is imported by
nothing else. `study` reads an experiment and makes its cells, `measures` reads figures, `compare` and
`search` decide (no I/O, no clock); `builds` makes revisions ready, `bench` runs cells and keeps them,
`store` is the folder and the index, `charts` and `pages` draw and write.
"""
