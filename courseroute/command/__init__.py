"""The command line `courseroute`: sub-commands over the relay, its configuration, its folder and the town.

Called by people and by scripts (`--json`). Nothing on the relay's own path imports it.
"""
