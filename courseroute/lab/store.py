"""Where results are kept: one folder a run, an index of all runs in SQLite beside them.

A run's folder: `study.json` (the exact input: study, day, cells), `machine.json`, a folder a finished cell
with `figures.json` and, where asked for, `ledger.parquet`. A cell's folder is made under another name and
renamed when it is whole: what was cut off is no cell.
"""
import contextlib
import hashlib
import os
import platform
import shutil
import sqlite3
import subprocess
import time
from pathlib import Path

import msgspec
import orjson
import psutil

from courseroute.checked import Bad, Mistake
from courseroute.lab.study import Study, cells

TORN = ".part"
TABLES = """create table if not exists runs (name text primary key, about text, started real, ended real,
  cells integer, revision text, input text)"""


class Run:
    """One run's folder. `study`, `day` (plain content) and `cells` are as they were when it began."""

    def __init__(self, folder):
        self.folder, self.name = Path(folder), Path(folder).name
        try:
            told = orjson.loads((self.folder / "study.json").read_bytes())
        except (OSError, ValueError) as cause:
            raise Bad(str(folder), [Mistake("", str(cause), "the folder of a run")]) from None
        self.study, self.day = msgspec.convert(told["study"], Study), told["day"]
        self.input, self.revisions = told["input"], told["revisions"]
        self.cells = cells(self.study)

    def place(self, cell):
        return self.folder / cell.name

    def done(self, cell):
        return (self.place(cell) / "figures.json").exists()

    def missing(self):
        """Cells not played yet, in the order of play; what was cut off is cleared away."""
        for torn in self.folder.glob("*" + TORN):
            shutil.rmtree(torn)
        return [cell for cell in self.cells if not self.done(cell)]

    def figures(self, cell):
        return orjson.loads((self.place(cell) / "figures.json").read_bytes()) if self.done(cell) else None

    def table(self):
        """{cell: figures} of all that were played, by number."""
        return {cell: self.figures(cell) for cell in sorted(self.cells, key=lambda cell: cell.number)
                if self.done(cell)}

    def machine(self):
        return orjson.loads((self.folder / "machine.json").read_bytes())


def digest(study, day):
    """What an input is known by: the same study over the same day has the same."""
    plain = msgspec.to_builtins(study), day
    return hashlib.sha256(orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)).hexdigest()[:16]


def machine():
    return {"python": platform.python_version(), "system": platform.platform(), "cores": os.cpu_count(),
            "memory_mb": psutil.virtual_memory().total >> 20, "processor": processor()}


def processor():
    with contextlib.suppress(OSError):
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                return line.partition(":")[2].strip()
    return platform.processor()


def revision(folder="."):
    """The tree's revision, with "+" where it differs from it; "" outside a repository."""
    def git(*words):
        return subprocess.run(["git", "-C", str(folder), *words], capture_output=True, text=True)
    head = git("rev-parse", "--short=12", "HEAD")
    if head.returncode:
        return ""
    return head.stdout.strip() + ("+" if git("status", "--porcelain", "-uno").stdout.strip() else "")


class Store:
    """The folder of all runs."""

    def __init__(self, root):
        self.root = Path(root)

    def index(self):
        self.root.mkdir(parents=True, exist_ok=True)
        index = sqlite3.connect(self.root / "index.sqlite", timeout=30)
        index.execute(TABLES)
        return contextlib.closing(index)

    def create(self, study, day, revisions):
        """A new run's folder, everything in it that is known before a cell is played."""
        began, known = time.time(), digest(study, day)
        name = time.strftime("%Y%m%d-%H%M%S", time.gmtime(began)) + "-" + known[:6]
        folder = self.root / name
        part = self.root / (name + TORN)
        part.mkdir(parents=True)
        told = {"study": msgspec.to_builtins(study), "day": day, "input": known, "revisions": revisions}
        (part / "study.json").write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2))
        (part / "machine.json").write_bytes(orjson.dumps(machine(), option=orjson.OPT_INDENT_2))
        part.rename(folder)
        run = Run(folder)
        with self.index() as index, index:
            index.execute("insert into runs values (?, ?, ?, null, ?, ?, ?)", (
                name, study.about, began, len(run.cells), revision(), known))
        return run

    def unfinished(self, study, day):
        """The newest run of the same input that is not ended; None where there is none."""
        with self.index() as index:
            for name, in index.execute("select name from runs where input = ? and ended is null "
                                       "order by started desc", (digest(study, day),)):
                if (self.root / name / "study.json").exists():
                    return Run(self.root / name)
        return None

    def end(self, run):
        with self.index() as index, index:
            index.execute("update runs set ended = ? where name = ?", (time.time(), run.name))

    def rows(self):
        """(name, about, started, ended, cells, revision) of all runs, the newest first."""
        with self.index() as index:
            return index.execute("select name, about, started, ended, cells, revision from runs "
                                 "order by started desc").fetchall()

    def run(self, name):
        """A run by its name, or the beginning of one."""
        found = sorted(path for path in self.root.glob(f"{name}*") if (path / "study.json").exists())
        if len(found) != 1:
            names = ", ".join(path.name for path in found) or "none"
            raise Bad(str(self.root), [Mistake(name, f"runs of that name: {names}", "the name of one run")])
        return Run(found[0])

    def prune(self, keep):
        """Removes all but the newest runs; their names."""
        gone = [row[0] for row in self.rows()[keep:]]
        for name in gone:
            shutil.rmtree(self.root / name, ignore_errors=True)
            with self.index() as index, index:
                index.execute("delete from runs where name = ?", (name,))
        return gone


def keep_cell(run, cell, figures, rows):
    """Keeps a cell that was played, whole or not at all."""
    part = run.folder / (cell.name + TORN)
    shutil.rmtree(part, ignore_errors=True)
    part.mkdir()
    if rows is not None:
        frame(rows).write_parquet(part / "ledger.parquet", compression="zstd")
    (part / "figures.json").write_bytes(orjson.dumps(figures))
    part.rename(run.place(cell))


def frame(rows):
    """A ledger as a table: a row each, all columns that any row has; lists as text."""
    import polars as pl
    flat = [{name: ",".join(map(str, value)) if isinstance(value, list) else value
             for name, value in row.items()} for row in rows]
    return pl.DataFrame(flat, infer_schema_length=None)


