"""Steps of a start that time can mend: an address in use, no descriptor left, a folder that can't be read."""

import trio

RETRY_INTERVAL_S = 0.1


async def retry_os_errors(step, event, log_event):
    """Calls `step()` until it raises no OSError, and returns its result. Each kind of failure is logged once,
    as `event`."""
    logged = set()
    while True:
        try:
            return step()
        except OSError as error:
            if error.errno not in logged:
                logged.add(error.errno)
                log_event(event, error=str(error)[:200])
        await trio.sleep(RETRY_INTERVAL_S)
