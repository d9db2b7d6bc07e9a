"""Converts the operator's settings to the dispatcher's names: a plain map of names to values, the `terms`."""

NS_PER_US = 1000
EFFECTS = {"pure": "retriable", "token": "keyed", "side_effect": "non-retriable"}


def parse_bool(text):
    return text in ("1", "true")


def parse_list(settings, path):
    return [value for value in settings.get(path, "").split(",") if value]


def item_count(settings, path):
    """The number of maps in a list of the settings. There are no more than settings, whatever the figure."""
    return min(int(settings.get(f"{path}.count", 0)), len(settings))


def parse_settings(settings):
    """`settings` maps each setting's path to its value as text. Durations, in microseconds, become
    nanoseconds. A setting that is absent stays absent."""
    terms = {}

    def convert_if_set(name, path, convert):
        if path in settings:
            terms[name] = convert(settings[path])

    def parse_duration(text):
        return int(text) * NS_PER_US

    for name, path, convert in (
        ("relays", "balancers", int),
        ("number", "me", int),
        ("area", "zone", str),
        ("slots", "family-info.call-slots", int),
        ("room", "permissions.open-cap", int),
        ("legs", "permissions.send-cap", int),
        ("connect_within", "permissions.connect-timeout", parse_duration),
        ("idle_close", "permissions.idle-close", parse_duration),
        ("cancel", "permissions.cancel", parse_bool),
        ("copies", "permissions.parallel-tries", parse_bool),
        ("stay_away", "permissions.max-retry-after", parse_duration),
        ("tick", "tick", parse_duration),
        ("drain_grace", "safety.stop-sending-within", parse_duration),
        ("ask_within", "safety.ask-within", parse_duration),
        ("cold", "safety.cold", parse_duration),
        ("cold_from", "safety.cold-from", float),
        ("overload", "safety.overload-factor", float),
        ("fall", "safety.fall", parse_duration),
        ("turn_gap", "safety.turn-gap", parse_duration),
        ("over_share", "over-share-worth", float),
    ):
        convert_if_set(name, path, convert)
    terms["ask"] = settings.get("discovery") == "on_request"
    terms["rough"] = settings.get("weight-source") == "rough"
    terms["listed_rates"] = settings.get("weight-source", "none") != "none"
    if not parse_bool(settings.get("permissions.retry-after", "true")):
        terms["stay_away"] = 0
    kinds, apart, per_call = (
        parse_list(settings, path) for path in ("kinds", "family-info.routes-apart", "family-info.per-call")
    )
    terms["kinds"] = {
        kind: {
            "apart": parse_bool(apart[i]) if i < len(apart) else False,
            "per_call": int(per_call[i] or 1) if i < len(per_call) else 1,
        }
        for i, kind in enumerate(kinds)
    }
    terms["customers"] = {}
    for i in range(item_count(settings, "parties")):
        base = f"parties.{i}."
        if base + "quota-per-s" in settings:
            terms["customers"][settings.get(base + "name", "")] = float(settings[base + "quota-per-s"])
    terms["lanes"] = {}
    for i in range(item_count(settings, "grades")):
        lane = {}
        for name, key, convert in (
            ("target", "objective", parse_duration),
            ("deadline", "deadline", parse_duration),
            ("group", "group", str),
            ("effect", "effect", lambda text: EFFECTS.get(text, "non-retriable")),
            ("window", "window", parse_duration),
            ("value", "worth", float),
            ("late_value", "late-value", float),
            ("ordered", "by-arrival", parse_bool),
        ):
            if f"grades.{i}.{key}" in settings:
                lane[name] = convert(settings[f"grades.{i}.{key}"])
        terms["lanes"][settings.get(f"grades.{i}.name", "")] = lane
    return terms


def flatten_settings(value, path="", found=None):
    """Flattens nested settings to a map of paths to texts. A plain list is joined by commas; a list of maps
    becomes its count and a path for each item."""
    found = {} if found is None else found
    if isinstance(value, dict):
        for name, part in value.items():
            flatten_settings(part, f"{path}.{name}" if path else name, found)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        found[f"{path}.count"] = str(len(value))
        for i, part in enumerate(value):
            flatten_settings(part, f"{path}.{i}", found)
    elif isinstance(value, list):
        found[path] = ",".join(format_value(part) for part in value)
    else:
        found[path] = format_value(value)
    return found


def format_value(value):
    return str(value).lower() if isinstance(value, bool) else str(value)
