"""Slopes that docs/CAPACITY.md is worked out from, measured in one process."""

from collections.abc import Callable
import dataclasses
import gc
import itertools
import time
import tracemalloc

import orjson
from thriftpy2.protocol import cybin
from thriftpy2.transport import TCyMemoryBuffer

from bench import cells
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import registry
from hickoryreach.decisions import state
from hickoryreach.lists import documents
from hickoryreach.lists import freshness
from hickoryreach.lists import heads
from hickoryreach.lists import keys
from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers
from hickoryreach.wire import messages
from hickoryreach_entry.owner import records

WORKERS = 500
JOBS = 5_000
TASKS = 5_000
ROWS = 50
REPEATS = 200
ROUNDS = 5
WORKSPACES = 640
KEYS_PER_WORKSPACE = 3
PEERS = 50
NEED = resources.Resources(cpu_millis=1_000, memory_mb=2_000)
BOOT_ID = "4b7f0c1d2e3a4f50"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """What one more of something costs.

    Attributes:
        name: What it is, with its unit.
        value: The measured value.
    """

    name: str
    value: float


Measure = Callable[[], list[Slope]]

measures: registry.Registry[str, Measure] = registry.Registry(title="slopes")


def make_job(number: int, **values: object) -> jobs.Job:
    """Returns a job as it would come from a runbook."""
    return jobs.Job(
        job_id=f"0.{number:016x}",
        workspace=f"team{number % WORKSPACES:03}",
        request_id=f"ISS-2026-{number:06}",
        command="run.sh",
        arguments=("hydro-7", f"2026-{number:06}"),
        need=NEED,
        digest="a" * 64,
        **values,
    )


def make_shard(workers_count: int) -> state.ShardState:
    """Returns a shard with empty workers and the fleet's workspaces."""
    shard = state.ShardState()
    cell = cells.make_fleet(workers_count)
    reducer.reduce(
        shard, events.EntitlementsChanged(entitlements=cell.entitlements), 0
    )
    for worker in cell.workers:
        reducer.reduce(shard, events.WorkerJoined(worker=worker), 0)
    return shard


def submit(shard: state.ShardState, job: jobs.Job) -> list[effects.Effect]:
    """Queues a job and runs the bounded work to its end."""
    out = reducer.reduce(shard, events.JobSubmitted(job=job), 0)
    while shard.has_more:
        out += reducer.reduce(shard, events.Ticked(), 0)
    return out


def _allocated(make: Callable[[], object]) -> tuple[int, object]:
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def _time_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Returns the least processor time of a call in a few rounds of calls."""
    rounds = []
    for _ in range(ROUNDS):
        before_s = time.process_time()
        for _ in range(repeats):
            call()
        rounds.append(time.process_time() - before_s)
    return min(rounds) / repeats * 1e6


@measures.register("memory")
def measure_memory() -> list[Slope]:
    """Measures what the reducer keeps for workers, jobs and tasks."""
    small, _ = _allocated(lambda: make_shard(WORKERS))
    large, shard = _allocated(lambda: make_shard(3 * WORKERS))
    running, _ = _allocated(
        lambda: [submit(shard, make_job(number)) for number in range(JOBS)][:0]
    )
    empty = make_shard(1)
    waiting, _ = _allocated(
        lambda: [submit(empty, make_job(number)) for number in range(JOBS)][:0]
    )
    one = make_shard(1)
    tasks, _ = _allocated(lambda: submit(one, make_job(1, tasks=TASKS))[:0])
    return [
        Slope(
            name="reducer memory, bytes a worker",
            value=(large - small) / (2 * WORKERS),
        ),
        Slope(
            name="reducer memory, bytes a running job of one task",
            value=running / JOBS,
        ),
        Slope(
            name="reducer memory, bytes a waiting job of one task",
            value=waiting / JOBS,
        ),
        Slope(
            name="reducer memory, bytes a further waiting task",
            value=tasks / TASKS,
        ),
    ]


def _run_job(shard: state.ShardState, number: int) -> None:
    for start in submit(shard, make_job(number)):
        if not isinstance(start, effects.StartTask):
            continue
        at = {"key": start.key, "worker_id": start.worker_id}
        reducer.reduce(shard, events.TaskStarted(**at), 0)
        outcome = jobs.TaskResult.SUCCEEDED
        reducer.reduce(
            shard, events.TaskEnded(**at, result=outcome, run_ms=100), 0
        )


def _fill(shard: state.ShardState, count: int) -> list[events.WorkerReported]:
    """Starts `count` tasks and returns a report of each worker."""
    listed: dict[str, list[workers.RunningTask]] = {}
    for number in range(count):
        for effect in submit(shard, make_job(2 * JOBS + number)):
            if isinstance(effect, effects.StartTask):
                row = workers.RunningTask(
                    key=effect.key, used=effect.need, allocated=effect.need
                )
                listed.setdefault(effect.worker_id, []).append(row)
    return [
        events.WorkerReported(worker_id=name, running=tuple(rows))
        for name, rows in listed.items()
    ]


@measures.register("events")
def measure_events() -> list[Slope]:
    """Measures the time of a task's events and of a worker's report."""
    shard = make_shard(2 * WORKERS)
    numbers = itertools.count()
    task_us = _time_us(lambda: _run_job(shard, next(numbers)), JOBS // ROUNDS)
    reports = _fill(shard, 7 * 2 * WORKERS)
    rows = sum(len(report.running) for report in reports)
    times = itertools.count(1_000, 1_000)

    def report_all() -> None:
        now_ms = next(times)
        for report in reports:
            reducer.reduce(shard, report, now_ms)

    report_all()
    row_us = _time_us(report_all, 1) / rows
    tick_us = _time_us(lambda: reducer.reduce(shard, events.Ticked(), 1_000))
    return [
        Slope(
            name="reducer, us a one-task job from submit to end", value=task_us
        ),
        Slope(name="reducer, us a task in a report", value=row_us),
        Slope(name="reducer, us a tick with nothing to do", value=tick_us),
    ]


def _make_reply(rows: int) -> platform_workers.SyncReply:
    return platform_workers.SyncReply(
        term=17,
        boot_id=BOOT_ID,
        clock_ms=123_456_789,
        running=tuple(
            platform_workers.TaskRow(
                key=jobs.TaskKey(
                    job_id=f"0.{row:016x}", index=row, attempt=100_001
                ),
                need=NEED,
                used=NEED,
            )
            for row in range(rows)
        ),
    )


def _make_request(starts: int) -> platform_workers.SyncRequest:
    return platform_workers.SyncRequest(
        owner="entry-3",
        term=17,
        boot_id=BOOT_ID,
        deadline_ms=123_456_789,
        grant_ms=5_000,
        task_lease_ms=10_000,
        operations=tuple(
            platform_workers.Operation(
                verb="start",
                key=jobs.TaskKey(
                    job_id=f"0.{row:016x}", index=row, attempt=100_001
                ),
                need=NEED,
                command="run.sh",
                arguments=("hydro-7", f"2026-{row:06}"),
                workspace="team001",
            )
            for row in range(starts)
        ),
    )


@measures.register("syncs")
def measure_syncs() -> list[Slope]:
    """Measures the size and coding of syncs, HTTP headers left out."""
    decode = platform_workers._reply_type.validate_json
    bare, full = (orjson.dumps(_make_reply(rows)) for rows in (0, ROWS))
    request, starts = _make_request(0), _make_request(ROWS)
    bare_us = _time_us(lambda: decode(bare))
    full_us = _time_us(lambda: decode(full))
    sent_us = _time_us(lambda: orjson.dumps(request))
    starts_us = _time_us(lambda: orjson.dumps(starts))
    sent = len(orjson.dumps(request))
    return [
        Slope(name="sync, bytes without tasks", value=sent + len(bare)),
        Slope(
            name="sync, bytes a task listed",
            value=(len(full) - len(bare)) / ROWS,
        ),
        Slope(
            name="sync, bytes a start",
            value=(len(orjson.dumps(starts)) - sent) / ROWS,
        ),
        Slope(name="sync, us to code without tasks", value=bare_us + sent_us),
        Slope(
            name="sync, us to decode a task listed",
            value=(full_us - bare_us) / ROWS,
        ),
        Slope(
            name="sync, us to encode a start",
            value=(starts_us - sent_us) / ROWS,
        ),
    ]


def _pack(message: object) -> bytes:
    buffer = TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer)
    protocol.write_struct(message)
    protocol.trans.flush()
    return buffer.getvalue()


def _unpack(data: bytes) -> object:
    buffer = TCyMemoryBuffer(data)
    return cybin.TCyBinaryProtocol(buffer).read_struct(messages.Envelope())


def _make_envelopes() -> dict[str, object]:
    submission = messages.Submission(job=messages.pack_job(make_job(7)))
    dispatch = messages.Dispatch(
        job_id="0.0123456789abcdef",
        attempt=100_001,
        worker_id="w00017",
        address="10.20.30.40:8080",
        term=17,
        valid_ms=2_000,
    )
    outcome = messages.Outcome(
        job_id="0.0123456789abcdef",
        attempt=100_001,
        worker_id="w00017",
        result="succeeded",
        run_ms=75,
        status=200,
    )
    notice = messages.Notice(
        job_id="0.0123456789abcdef",
        state="succeeded",
        ran="ran",
        status=200,
        tasks=1,
        tasks_done=1,
    )
    envelope = messages.Envelope
    return {
        "submission": envelope(sender="e1", submissions=[submission] * ROWS),
        "dispatch": envelope(sender="e1", dispatches=[dispatch] * ROWS),
        "outcome": envelope(sender="e1", outcomes=[outcome] * ROWS),
        "notice": envelope(sender="e1", notices=[notice] * ROWS),
    }


@measures.register("peers")
def measure_peers() -> list[Slope]:
    """Measures the messages between entries, ROWS to an envelope."""
    slopes = []
    for name, envelope in _make_envelopes().items():
        data = _pack(envelope)
        pack_us = _time_us(lambda e=envelope: _pack(e)) / ROWS
        unpack_us = _time_us(lambda d=data: _unpack(d)) / ROWS
        slopes += [
            Slope(name=f"thrift, bytes a {name}", value=len(data) / ROWS),
            Slope(name=f"thrift, us to encode a {name}", value=pack_us),
            Slope(name=f"thrift, us to decode a {name}", value=unpack_us),
        ]
    return [*slopes, *_measure_heartbeat()]


def _make_statement(peers: int) -> bytes:
    names = [f"{number:08x}" for number in range(peers)]
    return freshness.pack(
        freshness.Statement(
            instance="01234567",
            stamp_ms=123_456_789,
            age_ms=1_500,
            unsettled=False,
            revisions={"plans": 27_000, "allowances": 270},
            echoes=dict.fromkeys(names, 123_456_789),
            heard_ms=dict.fromkeys(names, 250),
        )
    )


def _measure_heartbeat() -> list[Slope]:
    """Measures heads sent to one peer; a statement names every entry."""
    sizes = []
    for peers in (0, PEERS):
        told = [
            messages.ListHead(name="plans", revision=27_000),
            messages.ListHead(name="allowances", revision=270),
            messages.ListHead(
                name="freshness", revision=0, document=_make_statement(peers)
            ),
        ]
        sent = _pack(messages.Envelope(sender="entry-17", heads=told))
        answer = _pack(messages.Receipt(receiver="entry-18", heads=told))
        sizes.append(len(sent) + len(answer))
    statement = _make_statement(PEERS)
    return [
        Slope(name="heartbeat, bytes both ways", value=sizes[0]),
        Slope(
            name="heartbeat, bytes both ways an entry named",
            value=(sizes[1] - sizes[0]) / PEERS,
        ),
        Slope(
            name="heartbeat, us to parse an entry named",
            value=_time_us(lambda: freshness.parse(statement)) / PEERS,
        ),
    ]


def make_plans(count: int) -> plans.Plans:
    """Returns a list of plans with three keys a workspace."""
    return plans.Plans(
        plans=tuple(
            plans.Plan(
                workspace=f"team{number:03}",
                plan="standard",
                keys=tuple(
                    plans.Key(
                        key_id=f"team{number:03}-{key}",
                        hash=plans.hash_key(f"{number}/{key}"),
                    )
                    for key in range(KEYS_PER_WORKSPACE)
                ),
            )
            for number in range(count)
        )
    )


@measures.register("lists")
def measure_lists() -> list[Slope]:
    """Measures the list of plans and one change of it."""
    whole = make_plans(WORKSPACES)
    flat = documents.flatten(whole)
    half = documents.flatten(make_plans(WORKSPACES // 2))
    rest = WORKSPACES - WORKSPACES // 2
    size = len(heads.pack(flat)) - len(heads.pack(half))
    path, value = next(iter(flat.items()))
    change = heads.Change(
        revision=1_000,
        at_ms=1_700_000_000_000,
        actor="operator-1",
        action="grant",
        token="0123456789abcdef0123456789abcdef",
        put={path: value},
    )
    head = heads.Head(revision=1_000, base_revision=990, changes=(change,) * 10)
    data = heads.pack(head)

    def apply() -> None:
        read = heads.parse_head(data)
        changed = documents.apply_delta(flat, read.changes[-1].delta)
        keys.build_index(documents.unflatten("plans", changed))

    return [
        Slope(name="plans, bytes of snapshot a workspace", value=size / rest),
        Slope(
            name="plans, bytes of head a change",
            value=len(heads.pack(heads.Head(changes=(change,))))
            - len(heads.pack(heads.Head())),
        ),
        Slope(
            name=f"plans, us to apply a change with {WORKSPACES} workspaces",
            value=_time_us(apply, 20),
        ),
        Slope(
            name="plans, bytes of memory a workspace",
            value=_allocated(lambda: _load(whole))[0] / WORKSPACES,
        ),
    ]


def _load(whole: plans.Plans) -> object:
    flat = documents.flatten(whole)
    document = documents.unflatten("plans", flat)
    return flat, document, keys.build_index(document)


@measures.register("journal")
def measure_journal() -> list[Slope]:
    """Measures the records of a job's life."""
    key = jobs.TaskKey(job_id=f"0.{7:016x}", index=0, attempt=100_001)
    made = {
        "accepted job": records.JobAccepted(job=make_job(7)),
        "intent": records.IntentRecorded(key=key, worker_id="w00017"),
        "settled task": records.TaskSettled(
            key=key, result=jobs.TaskResult.SUCCEEDED
        ),
        "finished job": records.JobFinished(
            job_id=key.job_id,
            state=jobs.JobState.SUCCEEDED,
            ran=jobs.ExecutionStatus.RAN,
            digest="a" * 64,
            workspace="team007",
        ),
    }
    slopes = []
    for name, record in made.items():
        slopes += [
            Slope(
                name=f"journal, bytes an {name}"
                if name[0] in "ai"
                else f"journal, bytes a {name}",
                value=len(records.encode(record)),
            ),
        ]
    accepted = made["accepted job"]
    slopes.append(
        Slope(
            name="journal, us to encode a record",
            value=_time_us(lambda: records.encode(accepted)),
        )
    )
    return slopes


def measure_all() -> list[Slope]:
    """Returns every slope."""
    return [slope for call in measures.members.values() for slope in call()]
