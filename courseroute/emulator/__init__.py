"""The emulator: runs destinations, directory, platform, clients and relays on loopback, set by one file.

Called by the command line (`courseroute town`) and the tests. It imports parts of the relay; no part of the
relay imports it. `scenario` reads the file of a day, `destination` models a destination and `judge` checks
the rules; these three use no socket and no clock. `worker` is a worker process that runs some destinations
(`hosts`) and a share of the `clients`; `platform` is the directory and accepts notices; `relays` manages
the relay processes; `play` runs the whole day; `report` computes its figures; `soak` runs many days.
"""
