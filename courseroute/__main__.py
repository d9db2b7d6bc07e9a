"""Starts one relay: python -m courseroute."""
import sys

from courseroute.run import config
from courseroute.run.relay import main

if __name__ == "__main__":
    sys.exit(main(config.read()))
