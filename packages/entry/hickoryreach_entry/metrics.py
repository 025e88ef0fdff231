"""Every metric of an entry, by one name each.

Calls to the store are counted in hickoryreach.trial.store.
"""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

commit_seconds = prometheus_client.Histogram(
    "hickoryreach_journal_commit_seconds",
    "Time from appending a journal record until it is kept",
    buckets=LATENCY_BUCKETS_S,
)
journal_healthy = prometheus_client.Gauge(
    "hickoryreach_journal_healthy",
    "1 while the store answers the journal's writes, else 0",
    ["shard"],
)
journal_waiting = prometheus_client.Gauge(
    "hickoryreach_journal_waiting",
    "Journal records that wait to be kept",
    ["shard"],
)
store_restored = prometheus_client.Counter(
    "hickoryreach_store_restored",
    "Times that the store was found restored to an older state",
)
decision_seconds = prometheus_client.Histogram(
    "hickoryreach_decision_seconds",
    "Time to reduce one event and hand out its effects",
    buckets=LATENCY_BUCKETS_S,
)
inbox_length = prometheus_client.Gauge(
    "hickoryreach_owner_inbox", "Events that wait for the owner", ["shard"]
)
placements = prometheus_client.Counter(
    "hickoryreach_placements", "Starts and dispatches decided", ["kind"]
)
refusals = prometheus_client.Counter(
    "hickoryreach_refusals", "Submissions refused by the owner", ["reason"]
)
takeover_seconds = prometheus_client.Histogram(
    "hickoryreach_takeover_seconds",
    "Time from beginning to take a shard until the state named",
    ["state"],
    buckets=LATENCY_BUCKETS_S,
)
grants_held = prometheus_client.Gauge(
    "hickoryreach_grants_held", "Unexpired worker grants", ["shard"]
)
workers_in_set = prometheus_client.Gauge(
    "hickoryreach_workers", "Workers of the journaled set", ["shard"]
)
shards_owned = prometheus_client.Gauge(
    "hickoryreach_shards_owned", "Shards this entry owns"
)
members_known = prometheus_client.Gauge(
    "hickoryreach_members", "Live entries known"
)
callers_waiting = prometheus_client.Gauge(
    "hickoryreach_callers_waiting", "Callers who wait for an answer"
)
requests_carried = prometheus_client.Gauge(
    "hickoryreach_requests_carried", "Requests being sent to minions"
)
peer_messages_dropped = prometheus_client.Counter(
    "hickoryreach_peer_messages_dropped",
    "Messages to peers dropped because a queue was full or a call failed",
    ["reason"],
)
http_connections = prometheus_client.Gauge(
    "hickoryreach_http_connections",
    "Open connections of clients",
    ["listener"],
)
http_refusals = prometheus_client.Counter(
    "hickoryreach_http_refusals",
    "Requests refused before they were read, and connections closed",
    ["listener", "reason"],
)
