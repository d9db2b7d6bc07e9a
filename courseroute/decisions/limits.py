"""Resource limits of a relay: shares of its memory (see `decisions.memory`) and disk, then sizes in bytes or
items, then times in nanoseconds."""

MS = 1_000_000
S = 1000 * MS

RELAY_LIMITS = {
    "partial_requests_share": 0.1,
    "held_share": 0.25,
    "endpoint_cache_share": 0.025,
    "learned_state_share": 0.02,
    "overrides_share": 0.01,
    "max_head_bytes": 16 << 10,
    "max_body_bytes": 64 << 10,
    "max_list_bytes": 4 << 20,
    "max_name_length": 256,
    "max_recent_ends": 1024,
    "max_attempts": 8,
    "backlog": 512,
    "max_operators": 8,
    "operator_timeout": 3 * S,
    "idle_timeout": 5 * S,
    "idle_share": 0.8,
    "compaction_pause": S // 250,
    "read_timeout": 2600 * MS,
    "write_timeout": 2 * S,
    "list_timeout": 10 * S,
    "notice_timeout": 2 * S,
    "short_retry_delay": S // 20,
    "answer_drain_timeout": S // 2,
    "closing_grace": S // 5,
    "sweep_interval": S // 2,
    "learned_state_valid_for": 60 * S,
}
