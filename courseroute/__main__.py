"""Starts one relay as the platform does: python -m courseroute. The command line is `courseroute.command`."""
import signal
import sys

from courseroute.checked import Bad
from courseroute.run import config
from courseroute.run.relay import main


def start():
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # while no handler stands it must end nothing
    try:
        told = config.read()
    except Bad as cause:
        print(cause, file=sys.stderr)
        return 2
    return main(told)


if __name__ == "__main__":
    if len(sys.argv) > 1:       # a command: its libraries are no part of the relay's path
        from courseroute.command.main import cli
        cli(prog_name="courseroute")
    sys.exit(start())
