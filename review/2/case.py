"""One answer in ten brings a load report that can't be read: long noise. The relay stands still over it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from peers import TROUBLE, run_case  # noqa: E402
from deployment import Partner, Site, mixed_lanes, seeded  # noqa: E402

PARTNERS, RATE, LIMIT = 8, 160.0, 30.0
TROUBLE_AT, TROUBLE_FOR, LASTS = 4.0, 40.0, 46.0
SHARE, NOISE_BYTES = 0.1, 12_000
LETTERS = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"


async def report_of_noise(record, scratch):
    draw = seeded()
    partners = [Partner(record, group, draw, limit=LIMIT) for group in range(1, PARTNERS + 1)]
    site = Site(record, scratch, draw, partners, family_info__call_slots=36, permissions__open_cap=700)

    def report():
        now = record.now() - began
        if TROUBLE and TROUBLE_AT < now < TROUBLE_AT + TROUBLE_FOR and draw.random() < SHARE:
            return "".join(draw.choices(LETTERS, k=NOISE_BYTES))
        return None

    for partner in partners:
        partner.report = report
    try:
        await site.start()
        began = record.now()
        await site.traffic(RATE, began + LASTS, mixed_lanes(draw, partners))
        await asyncio.sleep(13.5)  # until the last message's time is up
        return site.lost()
    finally:
        site.end()


def check_report_of_noise():
    """The exit code of the case."""
    return run_case(FOLDER, report_of_noise)


if __name__ == "__main__":
    sys.exit(check_report_of_noise())
