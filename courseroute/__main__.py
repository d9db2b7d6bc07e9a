"""Starts one relay: python -m courseroute."""
import signal
import sys

from courseroute.run import config
from courseroute.run.relay import main

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # while no handler stands it must end nothing
    sys.exit(main(config.read()))
