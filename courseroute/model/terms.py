"""The operators' settings under the module's own names: a plain map of names to values, the `terms`."""

US = 1000
EFFECTS = {"pure": "retriable", "token": "keyed", "side_effect": "non-retriable"}


def truth(text):
    return text in ("1", "true")


def listed(told, path):
    return [value for value in told.get(path, "").split(",") if value]


def terms_of(told):
    """`told` maps each setting's path to its value; times become nanoseconds, what is absent stays absent."""
    terms = {}

    def carry(name, path, convert):
        if path in told:
            terms[name] = convert(told[path])

    def span(text):
        return int(text) * US

    for name, path, convert in (
        ("relays", "balancers", int),
        ("number", "me", int),
        ("area", "zone", str),
        ("slots", "family-info.call-slots", int),
        ("room", "permissions.open-cap", int),
        ("legs", "permissions.send-cap", int),
        ("connect_within", "permissions.connect-timeout", span),
        ("idle_close", "permissions.idle-close", span),
        ("cancel", "permissions.cancel", truth),
        ("copies", "permissions.parallel-tries", truth),
        ("stay_away", "permissions.max-retry-after", span),
        ("tick", "tick", span),
        ("drain_grace", "safety.stop-sending-within", span),
        ("ask_within", "safety.ask-within", span),
        ("cold", "safety.cold", span),
        ("cold_from", "safety.cold-from", float),
        ("overload", "safety.overload-factor", float),
        ("fall", "safety.fall", span),
        ("turn_gap", "safety.turn-gap", span),
        ("over_share", "over-share-worth", float),
    ):
        carry(name, path, convert)
    terms["ask"] = told.get("discovery") == "on_request"
    terms["rough"] = told.get("weight-source") == "rough"
    terms["listed_rates"] = told.get("weight-source", "none") != "none"
    if not truth(told.get("permissions.retry-after", "true")):
        terms["stay_away"] = 0
    kinds, apart, per_call = (
        listed(told, path) for path in ("kinds", "family-info.routes-apart", "family-info.per-call")
    )
    terms["kinds"] = {
        kind: {
            "apart": truth(apart[i]) if i < len(apart) else False,
            "per_call": int(per_call[i] or 1) if i < len(per_call) else 1,
        }
        for i, kind in enumerate(kinds)
    }
    terms["customers"] = {}
    for i in range(int(told.get("parties.count", 0))):
        base = f"parties.{i}."
        if base + "quota-per-s" in told:
            terms["customers"][told.get(base + "name", "")] = float(told[base + "quota-per-s"])
    terms["lanes"] = {}
    for i in range(int(told.get("grades.count", 0))):
        lane = {}
        for name, key, convert in (
            ("target", "objective", span),
            ("deadline", "deadline", span),
            ("group", "group", str),
            ("effect", "effect", lambda text: EFFECTS.get(text, "non-retriable")),
            ("window", "window", span),
            ("value", "worth", float),
            ("late_value", "late-value", float),
            ("ordered", "by-arrival", truth),
        ):
            if f"grades.{i}.{key}" in told:
                lane[name] = convert(told[f"grades.{i}.{key}"])
        terms["lanes"][told.get(f"grades.{i}.name", "")] = lane
    return terms


def paths_of(value, path="", found=None):
    """Nested settings as paths: a plain list joined by commas, a list of maps as its count and its items."""
    found = {} if found is None else found
    if isinstance(value, dict):
        for name, part in value.items():
            paths_of(part, f"{path}.{name}" if path else name, found)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        found[f"{path}.count"] = str(len(value))
        for i, part in enumerate(value):
            paths_of(part, f"{path}.{i}", found)
    elif isinstance(value, list):
        found[path] = ",".join(plain(part) for part in value)
    else:
        found[path] = plain(value)
    return found


def plain(value):
    return str(value).lower() if isinstance(value, bool) else str(value)
