"""Starts one relay for the platform: python -m courseroute. The command line is in `courseroute.command`."""

import sys

from courseroute.run import deferred_imports, startup_signals


def start():
    startup_signals.install()  # before the imports, which are slow
    deferred_imports.defer()
    from courseroute.checked import Bad
    from courseroute.run import config
    from courseroute.run.relay import main

    try:
        settings = config.read_patiently()
    except Bad as cause:
        print(cause, file=sys.stderr)
        return 2
    return main(settings)


if __name__ == "__main__":
    if len(sys.argv) > 1:  # a command; its libraries are not loaded for the relay
        from courseroute.command.main import cli

        cli(prog_name="courseroute")
    sys.exit(start())
