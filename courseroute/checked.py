"""Validates files against msgspec Structs and reports all mistakes at once, each with its location.

Called by `run.setup` (a relay's configuration) and `emulator.scenario` (an emulator script). Durations in
files are text, a number and a unit; `span` converts them to nanoseconds. A file's schema is a Struct of
Structs, lists, maps with text keys and plain values; a Struct may have a `faults` method that reports invalid
values which the types cannot express.
"""

import re
from typing import Annotated, NamedTuple, Union, get_args, get_origin

import msgspec

NS = {"ns": 1, "us": 1000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
FORM = re.compile(r"(\d{1,18}(?:\.\d{1,9})?)(ns|us|ms|s|m|h)")
SPAN_ALLOWED = 'a number and a unit (ns, us, ms, s, m, h), as "250ms"'
Span = Annotated[str, msgspec.Meta(pattern=f"^{FORM.pattern}$", description=SPAN_ALLOWED)]
PLACE_ALLOWED = 'an address and a port, as "127.0.0.1:8080"'
PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})"  # 0 to 65535
Place = Annotated[str, msgspec.Meta(pattern=rf"^[^\s:]+:{PORT}$", description=PLACE_ALLOWED)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class Form(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Base class of the schemas of validated files."""


class Mistake(NamedTuple):
    """One invalid value or missing key of a file."""

    place: str  # as lanes.notice.target or faults[2].kind
    found: str
    allowed: str

    def __str__(self):
        return f"{self.place or 'the file'}: found {self.found}; allowed: {self.allowed}"


class Bad(Exception):
    """An invalid file; `mistakes` lists everything found wrong in it."""

    def __init__(self, name, mistakes):
        self.name, self.mistakes = name, mistakes
        super().__init__("\n".join(f"{name}: {mistake}" for mistake in mistakes))


def span(text):
    """Whole nanoseconds of a Span; None stays None."""
    if text is None:
        return None
    number, unit = FORM.fullmatch(text).groups()
    whole, _, part = number.partition(".")
    return int(whole) * NS[unit] + (int(part) * NS[unit] // 10 ** len(part) if part else 0)


def span_text(ns):
    """A duration in whole nanoseconds as text, in the largest unit that divides it."""
    return next(
        f"{ns // size}{unit}"
        for unit, size in reversed(NS.items())
        if ns % size == 0 and (ns >= size or unit == "ns")
    )


def read(path):
    """A TOML file's content; raises Bad if it cannot be read or is not TOML."""
    import tomllib  # here, as a relay of the platform reads no TOML and has little memory

    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as cause:
        raise Bad(path, [Mistake("", cause.strerror or str(cause), "a file that can be read")]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as cause:
        raise Bad(path, [Mistake("", str(cause), "TOML")]) from None


def made(told, form, name="configuration", strict=True):
    """Builds the Struct that `told` describes, or raises Bad with all mistakes. With `strict` False, for
    generated files that may omit settings required of a person, no `faults` method is called."""
    mistakes = []
    thing = check(told, form, "", mistakes, strict)
    if mistakes:
        raise Bad(name, mistakes)
    return thing


def check(told, kind, place, mistakes, strict=True):
    """Converts `told` to type `kind`, or adds to `mistakes` and returns None."""
    kind, described = bare(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return check_form(told, kind, place, mistakes, strict)
    if get_origin(kind) is dict and has_type(told, dict, place, mistakes):
        part = get_args(kind)[1]
        return {
            key: check(value, part, join_keys(place, key), mistakes, strict) for key, value in told.items()
        }
    if get_origin(kind) is list and has_type(told, list, place, mistakes):
        (part,) = get_args(kind)
        return [check(value, part, f"{place}[{at}]", mistakes, strict) for at, value in enumerate(told)]
    if get_origin(kind) in (dict, list):
        return None
    try:
        return msgspec.convert(told, described)
    except msgspec.ValidationError as cause:
        mistakes.append(Mistake(place, shown(told), allowed_by(described, str(cause))))


def bare(kind):
    """(the type, the type with its constraints); `X | None` is treated as X."""
    if get_origin(kind) is Union or type(kind).__name__ == "UnionType":
        kind = next(part for part in get_args(kind) if part is not type(None))
    return (get_args(kind)[0] if get_origin(kind) is Annotated else kind), kind


def check_form(told, form, place, mistakes, strict):
    """Converts a map to the Struct `form`, or adds to `mistakes` and returns None."""
    if not has_type(told, dict, place, mistakes):
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(form)}
    before, values = len(mistakes), {}
    for name, value in told.items():
        if name in fields:
            kind = fields[name].type
            values[fields[name].name] = check(value, kind, join_keys(place, name), mistakes, strict)
        else:
            import difflib  # here, as few files have mistakes

            near = difflib.get_close_matches(name, fields, 1)
            meant = f"{near[0]} (meant?), " if near else ""
            mistakes.append(
                Mistake(
                    join_keys(place, name),
                    "a key that does not exist",
                    meant + ", ".join(key for key in fields if key not in near),
                )
            )
    for name, field in fields.items():
        if field.required and name not in told:
            allowed = allowed_by(bare(field.type)[1], "a value")
            mistakes.append(Mistake(join_keys(place, name), "nothing", allowed))
    if len(mistakes) > before:
        return None
    thing = form(**values)
    for name, found, allowed in getattr(thing, "faults", list)() if strict else ():
        mistakes.append(Mistake(join_keys(place, name), found, allowed))
    return thing


def has_type(told, kind, place, mistakes):
    """Whether `told` is of type `kind`, dict or list; adds to `mistakes` if not."""
    if isinstance(told, kind):
        return True
    mistakes.append(Mistake(place, shown(told), "a table" if kind is dict else "a list"))
    return False


def join_keys(place, name):
    return f"{place}.{name}" if place else name


def shown(value):
    """The value as text for an error message, shortened to 60 characters."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def allowed_by(kind, said):
    """Describes the values a type allows: its description, its choices, or what msgspec expected."""
    for meta in getattr(kind, "__metadata__", ()):
        if meta.description:
            return meta.description
    if choices := [part for part in get_args(kind) if isinstance(part, str)]:
        return ", ".join(choices)
    found = re.match(r"Expected (.+?)(?:, got .*)?$", said)
    return found[1].replace("`", "") if found else said


def keys(form, place="", maps="NAME"):
    """(place, type in words, default) of every key of a schema, including nested ones, for documentation."""
    for field in msgspec.structs.fields(form):
        kind, described = bare(field.type)
        here = join_keys(place, field.encode_name)
        if get_origin(kind) is dict:
            here, kind = f"{here}.{maps}", get_args(kind)[1]
        elif get_origin(kind) is list and isinstance(get_args(kind)[0], type):
            here, kind = f"{here}[]", get_args(kind)[0]
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            yield from keys(kind, here, maps)
        else:
            default = field.default if field.default is not msgspec.NODEFAULT else None
            yield (
                here,
                allowed_by(described, getattr(kind, "__name__", str(kind))),
                ("required" if field.required else default),
            )
