"""Metrics of an entry on the users' platform."""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.06,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)

peer_bytes = prometheus_client.Counter(
    "hickoryreach_peer_bytes", "Bytes written to other entries"
)
newcomers_closed = prometheus_client.Counter(
    "hickoryreach_newcomers_closed",
    "Connections closed before the other side introduced itself as an entry",
)
caller_requests = prometheus_client.Counter(
    "hickoryreach_caller_requests",
    "Requests of callers",
    ["kind", "status"],
)
job_store_seconds = prometheus_client.Histogram(
    "hickoryreach_job_keep_seconds",
    "Time from a hand-in until the job is kept in the store",
    buckets=LATENCY_BUCKETS_S,
)
first_start_seconds = prometheus_client.Histogram(
    "hickoryreach_first_start_seconds",
    "Time from the owner's learning of a job until its first start is sent",
    buckets=LATENCY_BUCKETS_S,
)
end_store_seconds = prometheus_client.Histogram(
    "hickoryreach_record_seconds",
    "Time from an end's arrival until it is kept in the store",
    buckets=LATENCY_BUCKETS_S,
)
advance_seconds = prometheus_client.Histogram(
    "hickoryreach_advance_seconds",
    "Time of one pass over what waits",
    buckets=LATENCY_BUCKETS_S,
)
advice_seconds = prometheus_client.Histogram(
    "hickoryreach_advice_seconds",
    "Time from asking for advice until its answer",
    buckets=LATENCY_BUCKETS_S,
)
task_starts = prometheus_client.Counter(
    "hickoryreach_task_starts", "Answers to starts", ["result"]
)
task_ends = prometheus_client.Counter(
    "hickoryreach_task_ends", "Ends that minions listed", ["kind"]
)
jobs = prometheus_client.Counter(
    "hickoryreach_job_states", "Jobs that entered a state", ["state"]
)
fenced_calls = prometheus_client.Counter(
    "hickoryreach_fenced_calls",
    "Polls and orders that minions refused for the token of a later owner",
)
owning = prometheus_client.Gauge(
    "hickoryreach_owning", "1 while this entry owns the cell"
)
takeover_seconds = prometheus_client.Histogram(
    "hickoryreach_cell_takeover_seconds",
    "Time from the decision to take over until the first placement",
    buckets=LATENCY_BUCKETS_S,
)
log_lines_dropped = prometheus_client.Counter(
    "hickoryreach_log_lines_dropped", "Log lines dropped above the limit"
)
