"""Relays that are faulty in one way each; the emulator's judge must detect every one. Run as its relay
by `python tests/wrong_relay.py MODE`."""

import sys
import time

import trio

from courseroute.emulator.null_relay import NullRelay, main


class FaultyRelay(NullRelay):
    """Violates the one rule that `mode` names."""

    mode = ""

    async def accept_message(self, message):
        if self.mode == "refuses but sends":
            self.nursery.start_soon(self.deliver, message)
            return 503
        return await super().accept_message(message)

    async def deliver(self, message):
        if self.mode == "refuses but sends":
            await trio.sleep(0.2)
        if self.mode == "loses" and message["name"].split("-")[0].endswith("3"):
            return
        if self.mode == "changes":
            message["body"] = message["body"][:-1] + b"?"
        if self.mode == "strays":
            message["dst"] = str(int(message["dst"]) % 2 + 1)
        await super().deliver(message)
        if self.mode == "sends on after the end":
            await self.notice(message, "failed")
            await trio.sleep(0.2)
            await super().deliver(message)

    async def call(self, message, address):
        if self.mode == "out of order" and message["key"]:
            await trio.sleep(0.4 if int(message["name"].split("-")[0]) % 2 else 0)
        if self.mode == "pushes over":
            for _ in range(30):
                status, headers = await super().call(message, address)
                if status == 200:
                    break
                await trio.sleep(0.02)
            return status, headers
        status, headers = await super().call(message, address)
        if self.mode == "twice" and status != 200 or self.mode == "ignores waits" and status == 429:
            await trio.sleep(0.3)
            await super().call(message, address)
        if self.mode == "calls it harmless" and status != 200:
            await self.notice(message, "returned")
        elif status != 200 and self.mode != "loses":
            await self.notice(message, "failed")
        return status, headers

    def usable(self, state):
        return state == "ready" or self.mode == "ignores drains"

    async def run(self):
        if self.mode == "never ready":
            time.sleep(60)
        await super().run()


if __name__ == "__main__":
    FaultyRelay.mode = sys.argv[1]
    main(FaultyRelay)
