"""Steps of a start that time can mend: an address in use, no descriptor left, a folder that can't be read."""

import trio

RETRY_INTERVAL_S = 0.1


async def retry_os_errors(step, event, log_event):
    """Calls `step()` until it raises no OSError and returns its result. The first failure, and each one with
    another text, is logged as `event`."""
    logged = None
    while True:
        try:
            return step()
        except OSError as error:
            if str(error) != logged:
                logged = str(error)
                log_event(event, error=logged[:200])
        await trio.sleep(RETRY_INTERVAL_S)
