"""Revisions made ready to be played: a worktree each, tried before anything is run.

A build is a command that starts a relay of that revision: the town's interpreter, in the worktree. "." is
the tree as it stands. What a worktree was made for is known by its commit; it is made once and kept beside
the results.
"""
import shlex
import subprocess
import sys
from pathlib import Path

from courseroute.checked import Bad, Mistake

TRY = "import courseroute.__main__, courseroute.run.relay"


class Builds:
    def __init__(self, repository, folder):
        self.repository, self.folder = Path(repository).resolve(), Path(folder).resolve()

    def git(self, *words):
        return subprocess.run(["git", "-C", str(self.repository), *words], capture_output=True, text=True)

    def ready(self, names):
        """{name: (commit, command)}; Bad names each revision that is none, or does not start."""
        found, mistakes = {}, []
        for at, name in enumerate(names):
            try:
                found[name] = self.one(name)
            except ValueError as cause:
                mistakes.append(Mistake(f"factors.build[{at}]", f"{name!r}: {cause}",
                                        "a revision of this repository that builds, or \".\""))
        if mistakes:
            raise Bad("the study", mistakes)
        return found

    def one(self, name):
        if name == ".":
            place, commit = self.repository, "."
        else:
            told = self.git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}")
            if told.returncode:
                raise ValueError("no such revision")
            commit = told.stdout.strip()
            place = self.folder / commit[:12]
            if not (place / "courseroute").is_dir():
                self.folder.mkdir(parents=True, exist_ok=True)
                self.git("worktree", "prune")
                made = self.git("worktree", "add", "--force", "--detach", str(place), commit)
                if made.returncode:
                    raise ValueError(made.stderr.strip()[-200:])
        tried = subprocess.run([sys.executable, "-c", TRY], cwd=place, capture_output=True, text=True)
        if tried.returncode:
            raise ValueError("it does not start: " + (tried.stderr.strip().splitlines() or ["?"])[-1][:200])
        return commit, self.command(place)

    def command(self, place):
        """Runs a relay there, whatever folder the town runs in."""
        inner = f"cd {shlex.quote(str(place))} && exec {shlex.quote(sys.executable)} -m courseroute"
        return ["/bin/sh", "-c", inner]

    def drop(self):
        """Removes all worktrees that were made here."""
        for place in self.folder.glob("*"):
            self.git("worktree", "remove", "--force", str(place))
