"""Works out what each role takes at the size to design for."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from hickoryreach.decisions import registry

WORKERS = 18_000
SHARDS = 18
JOBS_PER_DAY = 270_000
BUSY_HOUR_PART = 0.1
BURST_FACTOR = 10
STARTS_PER_S = 2_300
RUNNING = 130_000
WORKSPACES = 640
CHANGES_PER_DAY = 27_000
RESTARTS_PER_DAY = 6_800 + 110
DAY_S = 86_400
ENTRIES = 50
SYNC_S = 10.0
HEARTBEAT_S = 0.5
STORE_WRITES_PER_S = 200
STORE_READS_PER_S = 2_000
RESTART_WRITES = 6
RETAINED_S = 900
CORE_LIMIT = 0.03
MEMORY_LIMIT_MB = 256
BYTES_LIMIT_KB_S = 10

Costs = Mapping[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One figure of one role.

    Attributes:
        role: The role.
        what: What is counted.
        value: The figure worked out.
        unit: Its unit.
        allowed: What it may be, or None.
    """

    role: str
    what: str
    value: float
    unit: str
    allowed: float | None = None


roles: registry.Registry[str, Callable[[Costs], Iterator[Line]]] = (
    registry.Registry(title="roles")
)


def get_jobs_per_s() -> float:
    """Returns jobs a second in a burst within the busiest hour."""
    return JOBS_PER_DAY * BUSY_HOUR_PART / 3600 * BURST_FACTOR


def get_rows() -> float:
    """Returns running tasks a worker."""
    return RUNNING / WORKERS


def get_worker_bytes(costs: Costs) -> float:
    """Returns bytes a second between one worker and its owner."""
    starts = STARTS_PER_S / WORKERS
    listed = get_rows() * costs["sync, bytes a task listed"]
    each = costs["sync, bytes without tasks"] + listed
    both = costs["sync, bytes a start"] + costs["sync, bytes a task listed"]
    return each / SYNC_S + starts * both


def get_worker_core(costs: Costs) -> float:
    """Returns the owner's part of a core for one worker."""
    starts = STARTS_PER_S / WORKERS
    row_us = (
        costs["sync, us to decode a task listed"]
        + costs["reducer, us a task in a report"]
    )
    sync_us = costs["owner, us a sync"] + get_rows() * row_us
    return (sync_us / SYNC_S + starts * costs["owner, us a batch task"]) / 1e6


@roles.register("front door")
def work_out_front(costs: Costs) -> Iterator[Line]:
    """Yields the figures of an entry that takes callers' work."""
    role = "entry, front door"
    per_s = get_jobs_per_s() / ENTRIES
    core = per_s * costs["front, us a request"] / 1e6
    peer_bytes = sum(
        costs[f"thrift, bytes a {name}"]
        for name in ("submission", "dispatch", "outcome", "notice")
    )
    yield Line(role=role, what="jobs", value=per_s, unit="1/s")
    yield Line(
        role=role,
        what="processor",
        value=core,
        unit="cores",
        allowed=CORE_LIMIT,
    )
    yield Line(
        role=role,
        what="memory: idle process and the plans",
        value=costs["entry, MB when idle"]
        + WORKSPACES * costs["plans, bytes of memory a workspace"] / 1e6,
        unit="MB",
        allowed=MEMORY_LIMIT_MB,
    )
    yield Line(
        role=role,
        what="messages to owners",
        value=per_s * peer_bytes / 1000,
        unit="KB/s",
        allowed=BYTES_LIMIT_KB_S,
    )


@roles.register("owner")
def work_out_owner(costs: Costs) -> Iterator[Line]:
    """Yields the figures of an entry that owns one shard."""
    role = "entry, shard owner"
    count = WORKERS / SHARDS
    running = (
        RUNNING
        / SHARDS
        * costs["reducer memory, bytes a running job of one task"]
    )
    finished = (
        RETAINED_S
        * get_jobs_per_s()
        / SHARDS
        * costs["owner, bytes an ended job kept"]
    )
    state_mb = (
        count * costs["reducer memory, bytes a worker"] + running + finished
    ) / 1e6
    core = count * get_worker_core(costs)
    kb_s = count * get_worker_bytes(costs) / 1000
    yield Line(role=role, what="workers", value=count, unit="")
    yield Line(
        role=role,
        what="task starts",
        value=STARTS_PER_S / SHARDS,
        unit="1/s",
    )
    yield Line(
        role=role,
        what="processor",
        value=core,
        unit="cores",
        allowed=CORE_LIMIT,
    )
    yield Line(
        role=role,
        what="memory: idle process and the shard's state",
        value=costs["entry, MB when idle"] + state_mb,
        unit="MB",
        allowed=MEMORY_LIMIT_MB,
    )
    yield Line(
        role=role,
        what="messages with workers",
        value=kb_s,
        unit="KB/s",
        allowed=BYTES_LIMIT_KB_S,
    )
    yield Line(
        role=role,
        what="entries if processor time alone binds",
        value=WORKERS * get_worker_core(costs) / CORE_LIMIT,
        unit="",
    )
    yield Line(
        role=role,
        what="entries if messages alone bind",
        value=WORKERS * get_worker_bytes(costs) / 1000 / BYTES_LIMIT_KB_S,
        unit="",
    )


@roles.register("peers")
def work_out_peers(costs: Costs) -> Iterator[Line]:
    """Yields the figures of an entry among its peers."""
    role = "entry, peer"
    sends = (ENTRIES - 1) / HEARTBEAT_S
    named = costs["heartbeat, bytes both ways an entry named"]
    each = costs["heartbeat, bytes both ways"] + ENTRIES * named
    yield Line(role=role, what="peers", value=ENTRIES - 1, unit="")
    yield Line(
        role=role,
        what="heartbeats",
        value=sends * each / 1000,
        unit="KB/s",
        allowed=BYTES_LIMIT_KB_S,
    )
    yield Line(
        role=role,
        what="processor for heartbeats",
        value=sends
        * (
            costs["entry, us a heartbeat"]
            + ENTRIES * costs["heartbeat, us to parse an entry named"]
        )
        / 1e6,
        unit="cores",
        allowed=CORE_LIMIT,
    )


@roles.register("worker")
def work_out_worker(costs: Costs) -> Iterator[Line]:
    """Yields the figures of a worker."""
    role = "worker link"
    yield Line(role=role, what="tasks listed", value=get_rows(), unit="")
    yield Line(
        role=role,
        what="messages",
        value=get_worker_bytes(costs) / 1000,
        unit="KB/s",
        allowed=BYTES_LIMIT_KB_S,
    )
    yield Line(
        role=role,
        what="processor, of the stand-in",
        value=costs["worker, us a sync"] / SYNC_S / 1e6,
        unit="cores",
        allowed=CORE_LIMIT,
    )


@roles.register("lists")
def work_out_lists(costs: Costs) -> Iterator[Line]:
    """Yields the figures of the operators' lists."""
    role = "lists"
    changes = CHANGES_PER_DAY / DAY_S
    apply_us = costs[
        f"plans, us to apply a change with {WORKSPACES} workspaces"
    ]
    yield Line(
        role=role,
        what="snapshot of the plans",
        value=WORKSPACES * costs["plans, bytes of snapshot a workspace"] / 1e3,
        unit="KB",
        allowed=1_000,
    )
    yield Line(
        role=role, what="changes, mean of the day", value=changes, unit="1/s"
    )
    yield Line(
        role=role,
        what="processor of each entry, mean",
        value=changes * apply_us / 1e6,
        unit="cores",
        allowed=CORE_LIMIT,
    )
    yield Line(
        role=role,
        what="processor of each entry, ten times the mean",
        value=10 * changes * apply_us / 1e6,
        unit="cores",
        allowed=CORE_LIMIT,
    )


@roles.register("store")
def work_out_store(costs: Costs) -> Iterator[Line]:
    """Yields the calls the store counts, by kind, and what it keeps."""
    role = "store"
    changes = CHANGES_PER_DAY / DAY_S
    watches = ENTRIES * costs["store, watch calls a second an entry"]
    wakes = ENTRIES * changes
    listed = SHARDS * costs["store, instance calls a second a shard"]
    restarts = RESTARTS_PER_DAY / DAY_S
    renewals = ENTRIES * costs["store, lease calls a second an entry"]
    journal = SHARDS * min(
        STORE_WRITES_PER_S / SHARDS, 1000 / costs["journal, ms a commit"]
    )
    jobs_bytes = get_jobs_per_s() * (
        costs["journal, bytes an accepted job"]
        + costs["journal, bytes a finished job"]
    )
    task_bytes = STARTS_PER_S * costs["journal, bytes a settled task"]
    rows = (
        ("read: watches that ended", watches),
        ("read: watches woken by a change", wakes),
        ("read: lists of instances", listed),
        ("read: journals of restarted owners", restarts),
    )
    for what, value in rows:
        yield Line(role=role, what=what, value=value, unit="1/s")
    yield Line(
        role=role,
        what="reads",
        value=sum(value for _, value in rows),
        unit="1/s",
        allowed=STORE_READS_PER_S,
    )
    writes = (
        ("write: lease renewals", renewals),
        ("write: changes of lists", changes),
        ("write: restarts", restarts * RESTART_WRITES),
        ("write: journal segments, at most", journal),
    )
    for what, value in writes:
        yield Line(role=role, what=what, value=value, unit="1/s")
    yield Line(
        role=role,
        what="writes",
        value=sum(value for _, value in writes),
        unit="1/s",
        allowed=STORE_WRITES_PER_S,
    )
    yield Line(
        role=role,
        what="journal, all shards",
        value=(jobs_bytes + task_bytes) / 1000,
        unit="KB/s",
    )


def work_out(costs: Costs) -> list[Line]:
    """Returns every line of every role."""
    return [line for call in roles.members.values() for line in call(costs)]
