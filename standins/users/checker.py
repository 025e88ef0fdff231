"""Checks what minions have run against what callers were told."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from standins.users import minions

CRASHES_BEFORE_LIMIT = 3
MAX_LATER_STARTS = 2
MAX_LIMIT_FACTOR = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSize:
    """What each task of a job counts towards the limit of a workspace.

    Attributes:
        workspace: The workspace.
        cpu: Processor capacity, in thousandths of a core.
        memory_mb: Memory in MiB.
    """

    workspace: str
    cpu: int
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """A limit of a workspace and when it may have been in force.

    Attributes:
        workspace: The workspace.
        cpu: Processor capacity, in thousandths of a core; 0 without a limit.
        memory_mb: Memory in MiB; 0 without a limit.
        from_s: When it was written.
        until_s: When the next one must have replaced it.
    """

    workspace: str
    cpu: int
    memory_mb: int = 0
    from_s: float = 0.0
    until_s: float = float("inf")


def find_faults(
    seen: Iterable[minions.Begun], completed: dict[str, int]
) -> list[str]:
    """Returns what must never happen, one line each.

    Args:
        seen: What the minions have begun and ended, in order.
        completed: Tasks of each job that was shown as completed.
    """
    return [
        *_find_doubles(seen),
        *_find_incomplete(seen, completed),
    ]


def find_stale_tokens(
    fenced: Iterable[minions.Fenced], since_s: float
) -> list[str]:
    """Returns the tokens that were used though minions knew a higher one.

    Args:
        fenced: Calls that minions refused for their token.
        since_s: Time from which none is to be used, on the monotonic clock.
    """
    counts = collections.Counter(
        each.token for each in fenced if each.at_s >= since_s
    )
    return [
        f"token {token} of an earlier owner was used {count} times"
        for token, count in sorted(counts.items())
    ]


def _find_doubles(seen: Iterable[minions.Begun]) -> list[str]:
    """Returns tasks that ran twice at once, or again after they were done.

    An end that was never taken note of, as the minion's lease lapsed before,
    does not bar another run.
    """
    seen = list(seen)
    noted = {
        (each.task, each.number)
        for each in seen
        if each.what == "noted" and each.how == "done"
    }
    faults = []
    running: dict[str, dict[tuple[str, int], float]] = {}
    done: set[str] = set()
    for each in seen:
        present = running.setdefault(each.task, {})
        name = (each.minion_id, each.number)
        if each.what == "start":
            if present:
                faults.append(f"{each.task} runs twice: {present}, {name}")
            if each.task in done:
                faults.append(f"{each.task} started again after it was done")
            present[name] = each.at_s
        elif each.what == "end":
            present.pop(name, None)
            if each.how == "done" and (each.task, each.number) in noted:
                done.add(each.task)
    return faults


def find_starts_after_crashes(
    seen: Iterable[minions.Begun], job_ids: Collection[str]
) -> list[str]:
    """Returns tasks started too often after minions had crashed under them.

    Args:
        seen: What the minions have begun and ended, in order.
        job_ids: Jobs whose tasks crash the minions that start them.
    """
    crashes: collections.Counter[str] = collections.Counter()
    later: collections.Counter[str] = collections.Counter()
    for each in seen:
        if each.task.split(".", 1)[0] not in job_ids:
            continue
        if each.what == "end" and each.how == minions.CRASHED:
            crashes[each.task] += 1
        elif each.what == "start":
            later[each.task] += crashes[each.task] >= CRASHES_BEFORE_LIMIT
    return [
        f"{task} was started {count} times more after "
        f"{CRASHES_BEFORE_LIMIT} crashes"
        for task, count in later.items()
        if count > MAX_LATER_STARTS
    ]


def find_overcommits(
    seen: Iterable[minions.Begun], cpu: int, capacity: int
) -> list[str]:
    """Returns starts that brought a minion above its capacity.

    Args:
        seen: What the minions have begun and ended, in order.
        cpu: What each task takes, in thousandths of a core.
        capacity: What each minion offers, likewise.
    """
    faults = []
    running: dict[str, set[tuple[str, int]]] = {}
    for each in seen:
        present = running.setdefault(each.minion_id, set())
        name = (each.task, each.number)
        if each.what == "start":
            present.add(name)
            if len(present) * cpu > capacity:
                faults.append(f"{each.minion_id} runs {len(present)} tasks")
        elif each.what == "end":
            present.discard(name)
    return faults


def find_late_starts(
    seen: Iterable[minions.Begun],
    cancelled: Mapping[str, float],
    limit_s: float,
) -> list[str]:
    """Returns starts long after the cancellation of their job was answered.

    Orders that a minion has held back don't count.

    Args:
        seen: What the minions have begun and ended, in order.
        cancelled: When each cancellation was answered, by job.
        limit_s: Longest time from the answer to a start.
    """
    return [
        f"{each.task} started {age_s:.1f} s after its cancellation"
        for each in seen
        if each.what == "start" and each.how != minions.LATE
        for answered_at in [cancelled.get(each.task.split(".", 1)[0])]
        if answered_at is not None
        and (age_s := each.at_s - answered_at) > limit_s
    ]


def find_misplaced(
    seen: Iterable[minions.Begun], labels: Mapping[str, str]
) -> list[str]:
    """Returns starts on minions without the label that their job requires.

    Args:
        seen: What the minions have begun and ended, in order.
        labels: Labels by job; jobs without one require none.
    """
    return [
        f"{each.task} requires {labels[job_id]} and starts on "
        f"{each.minion_id} of kind {each.kind} at {each.at_s:.3f}"
        for each in seen
        if each.what == "start"
        and (job_id := each.task.split(".", 1)[0]) in labels
        and labels[job_id] != each.kind
    ]


def find_limit_breaches(
    seen: Iterable[minions.Begun],
    sizes: Mapping[str, TaskSize],
    limits: Sequence[Limit],
) -> list[str]:
    """Returns starts that brought a workspace above its limit.

    What is being stopped still counts. The highest limit that may have been in
    force applies, with a tolerance of MAX_LIMIT_FACTOR and one task.

    Args:
        seen: What the minions have begun and ended, in order.
        sizes: Sizes of the tasks by job.
        limits: The limits of all workspaces.
    """
    faults = []
    running: dict[str, set[tuple[str, str, int]]] = {}
    for each in seen:
        size = sizes.get(each.task.split(".", 1)[0])
        if size is None or each.what not in ("start", "end"):
            continue
        present = running.setdefault(size.workspace, set())
        name = (each.minion_id, each.task, each.number)
        if each.what == "end":
            present.discard(name)
            continue
        present.add(name)
        members = [sizes[task.split(".", 1)[0]] for _, task, _ in present]
        possible = [
            limit
            for limit in limits
            if limit.workspace == size.workspace
            and limit.from_s <= each.at_s <= limit.until_s
        ]
        for dimension in ("cpu", "memory_mb"):
            used = sum(getattr(member, dimension) for member in members)
            highest = _get_highest(possible, dimension)
            allowed = highest * MAX_LIMIT_FACTOR + getattr(size, dimension)
            if used > allowed:
                faults.append(
                    f"{size.workspace} runs {dimension}={used} with "
                    f"{each.task} at {each.at_s:.3f}; it may {allowed:.0f}"
                )
    return faults


def _get_highest(limits: Iterable[Limit], dimension: str) -> float:
    """Returns the highest of some limits; one of 0 permits any use."""
    amounts = [getattr(limit, dimension) for limit in limits]
    return max(amounts) if amounts and all(amounts) else float("inf")


def _find_incomplete(
    seen: Iterable[minions.Begun], completed: dict[str, int]
) -> list[str]:
    done: dict[str, set[str]] = {}
    for each in seen:
        if each.what == "end" and each.how == "done":
            done.setdefault(each.task.split(".", 1)[0], set()).add(each.task)
    return [
        f"{job_id} was shown as completed with {len(done.get(job_id, ()))} of "
        f"{tasks} tasks done"
        for job_id, tasks in completed.items()
        if len(done.get(job_id, ())) != tasks
    ]
