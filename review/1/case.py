"""One answer in twenty brings a load report that can't be read; some have absurd figures. The relay hangs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Partner, Site, mixed_lanes, seeded  # noqa: E402
from peers import TROUBLE, run_case  # noqa: E402

PARTNERS, RATE, LIMIT = 8, 34.0, 5.0
TROUBLE_AT, TROUBLE_FOR, LASTS = 4.0, 20.0, 30.0
SHARE = 0.05
UNREADABLE = (
    "TEXT x0=?, x1=?",
    "TEXT x0=0.4, x1=-",
    "\x7e\x7e0.4 25",
    "TEXT x0=0.4, x1=25e+303",
    "TEXT x0=0.4e-303, x1=25e304",
)


async def report_out_of_range(record, scratch):
    draw = seeded()
    partners = [Partner(record, group, draw, limit=LIMIT) for group in range(1, PARTNERS + 1)]
    site = Site(record, scratch, draw, partners, family_info__call_slots=7, permissions__open_cap=160)

    def report():
        now = record.now() - began
        if TROUBLE and TROUBLE_AT < now < TROUBLE_AT + TROUBLE_FOR and draw.random() < SHARE:
            return draw.choice(UNREADABLE)
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


def check_report_out_of_range():
    """The exit code of the case."""
    return run_case(FOLDER, report_out_of_range)


if __name__ == "__main__":
    sys.exit(check_report_out_of_range())
