"""An experiment: its TOML file's form, and the cells it consists of. No I/O beyond reading the files
named."""
import itertools
import os
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
import numpy as np

from courseroute.checked import Bad, Count, Form, Mistake, made, read
from courseroute.lab import measures
from courseroute.town.script import Day, merged, with_base

BUILD = "build"         # the factor whose values are git revisions; "." is the tree as it stands


class Hypothesis(Form, kw_only=True):
    """What is expected: a condition on a measure, in cells where the factors named have these values."""
    says: str               # as "lanes.status.p99_ms < 2000"
    where: dict[str, Any] = {}


class Study(Form, kw_only=True):
    about: str
    day: str                                    # a town's day, beside this file
    factors: dict[str, list[Any]] = {}          # key of the day's file (or `build`) -> values
    design: Literal["full", "latin"] = "full"
    repeats: Count = 3
    seed: int = 1                               # repeat r plays every cell with seed + r: cells are paired
    measures: Annotated[list[str], msgspec.Meta(min_length=1)]
    hypotheses: list[Hypothesis] = []
    cores: Count = 3                            # a cell may keep busy: so many at a time fit the machine
    ledgers: bool = True                        # kept as Parquet

    def faults(self):
        for name, values in self.factors.items():
            if not values:
                yield f"factors.{name}", "an empty list", "one value or more"
            elif len({repr(value) for value in values}) < len(values):
                yield f"factors.{name}", "a value twice", "each value once"
        for at, name in enumerate(self.measures):
            if not measures.known(name):
                yield f"measures[{at}]", repr(name), measures.ALLOWED
        for at, one in enumerate(self.hypotheses):
            try:
                measures.condition(one.says)
            except ValueError as cause:
                yield f"hypotheses[{at}].says", repr(one.says), str(cause)
            for name in one.where:
                if name not in self.factors:
                    yield f"hypotheses[{at}].where.{name}", repr(name), "a factor: " + ", ".join(self.factors)
        sizes = {len(values) for values in self.factors.values()}
        if self.design == "latin" and (len(self.factors) != 3 or len(sizes) != 1):
            yield "design", "latin", "three factors with as many values each, or full"


class Cell(NamedTuple):
    """One play: its levels as (factor, value) pairs, and its repeat."""
    number: int
    levels: tuple
    repeat: int
    seed: int

    @property
    def name(self):
        return f"cell-{self.number:04d}"


def load(path):
    """(the Study, the day's plain content); Bad with every mistake, also of the days its factors make."""
    study = made(read(path), Study, str(path))
    day_path = os.path.join(os.path.dirname(str(path)), study.day)
    base = with_base(day_path, ())
    mistakes = []
    made(base, Day, day_path)
    for name, values in study.factors.items():
        for at, value in enumerate(values):
            place = f"factors.{name}[{at}]"
            if name == BUILD:
                if not isinstance(value, str):
                    mistakes.append(Mistake(place, repr(value), "a git revision, or \".\""))
                continue
            try:
                made(with_levels(base, [(name, value)]), Day, "day")
            except Bad as cause:
                mistakes += [Mistake(f"{place}: {one.place}", one.found, one.allowed)
                             for one in cause.mistakes]
    if mistakes:
        raise Bad(str(path), mistakes)
    return study, base


def with_levels(base, levels, seed=None):
    """The day's content with factors set; `partners.insurer.limit` names a key, `[i]` an item of a list."""
    told = base
    for name, value in levels:
        if name != BUILD:
            told = merged(told, nested(told, name.split("."), value))
    return told if seed is None else told | {"seed": seed}


def nested(told, keys, value):
    first, _, index = keys[0].partition("[")
    if index:
        there = told.get(first, []) if isinstance(told, dict) else []
        at = int(index.rstrip("]")) if index.rstrip("]").isdigit() else -1
        items = list(there) if isinstance(there, list) else []
        if not 0 <= at < len(items):
            return {keys[0]: value}         # a key that does not exist: the day's own check says so
        items[at] = merged(items[at], nested(items[at], keys[1:], value)) if len(keys) > 1 else value
        return {first: items}
    here = told.get(first, {}) if isinstance(told, dict) else {}
    return {first: nested(here, keys[1:], value) if len(keys) > 1 else value}


def treatments(study):
    """Every combination of levels the design plays, in a fixed order."""
    names = list(study.factors)
    if study.design == "latin":
        one, two, three = (study.factors[name] for name in names)
        size = len(one)
        return [tuple(zip(names, (one[i], two[j], three[(i + j) % size]), strict=True))
                for i in range(size) for j in range(size)]
    return [tuple(zip(names, values, strict=True)) for values in itertools.product(*study.factors.values())]


def cells(study):
    """All cells in the random order they are played in, drawn from the seed; numbers don't depend on it."""
    made_ones = [Cell(number, levels, repeat, study.seed + repeat) for number, (repeat, levels) in enumerate(
        itertools.product(range(study.repeats), treatments(study)))]
    order = np.random.default_rng([study.seed, 3]).permutation(len(made_ones))
    return [made_ones[i] for i in order]
