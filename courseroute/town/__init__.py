"""The town: partners, directory, platform, front, clients and relays on loopback, played from one file.

Called by the command line (`courseroute town`), the tests and, later, the laboratory. It imports the relay's
parts and is imported by none of them. `script` reads a day, `partner` decides as a partner would, `judge`
decides what broke a rule; these three know no socket and no clock. `quarter` is a worker process with some
partners (`hosts`) and a share of the `clients`, `platform` the directory and the notices, `relays` the
processes of the relays, `play` the whole day, `report` its figures.
"""
