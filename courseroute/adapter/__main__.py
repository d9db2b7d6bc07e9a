"""Serves the simulator's protocol: events on standard input, actions on standard output."""

import sys

from courseroute.adapter.wire import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
