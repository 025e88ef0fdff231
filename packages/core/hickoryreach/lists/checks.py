"""Validation across both lists, beyond the types of each."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from hickoryreach.decisions import registry
from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach.runbooks import steps

Check = Callable[["Pair"], Iterator[str]]

checks: registry.Registry[str, Check] = registry.Registry(title="list checks")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pair:
    """Both lists, to be validated together.

    Attributes:
        plans: The list of plans.
        allowances: The list of allowances.
        plans_set: Whether a list of plans was ever set. Until then, the list
            of allowances is checked without it.
    """

    plans: plans.Plans
    allowances: allowances.Allowances
    plans_set: bool = True


def find_faults(pair: Pair) -> list[str]:
    """Returns one line for each fault of a pair of lists."""
    return [fault for check in checks.members.values() for fault in check(pair)]


def _find_duplicates(names: Iterable[str]) -> list[str]:
    counts = collections.Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)


@checks.register("names")
def check_names(pair: Pair) -> Iterator[str]:
    """Yields a fault for each name that is not unique in its collection."""
    names_by_path = {
        "plans.workspace": (row.workspace for row in pair.plans.plans),
        "plans.keys.key_id": (
            key.key_id for row in pair.plans.plans for key in row.keys
        ),
        "operators.name": (row.name for row in pair.plans.operators),
        "allowances.plan": (row.plan for row in pair.allowances.allowances),
        "queues.name": (row.name for row in pair.allowances.queues),
    }
    for path, names in names_by_path.items():
        for name in _find_duplicates(names):
            yield f"{path}: {name} stands more than once"


@checks.register("hashes")
def check_hashes(pair: Pair) -> Iterator[str]:
    """Yields a fault for each key of more than one workspace or operator."""
    holders = collections.defaultdict(list)
    for plan in pair.plans.plans:
        for key in plan.keys:
            holders[key.hash].append(f"key {key.key_id} of {plan.workspace}")
    for operator in pair.plans.operators:
        holders[operator.hash].append(f"operator {operator.name}")
    for names in holders.values():
        if len(names) > 1:
            yield f"the same key is granted to {' and '.join(names)}"


@checks.register("operators")
def check_operators(pair: Pair) -> Iterator[str]:
    """Yields a fault if no operator could change the lists any more."""
    if pair.plans_set and not pair.plans.operators:
        yield "operators: at least one operator must stay"


@checks.register("plans")
def check_plans(pair: Pair) -> Iterator[str]:
    """Yields a fault for each workspace whose plan has no allowance."""
    known = {row.plan for row in pair.allowances.allowances}
    for row in pair.plans.plans:
        if row.plan not in known:
            yield f"plans.{row.workspace}: no allowance for plan {row.plan}"


@checks.register("queues")
def check_queues(pair: Pair) -> Iterator[str]:
    """Yields a fault for each unknown queue, and open one without workspace."""
    known = {row.name for row in pair.allowances.queues}
    workspaces = {row.workspace for row in pair.plans.plans}
    for row in pair.allowances.allowances:
        for name in row.queues:
            if name not in known:
                yield f"allowances.{row.plan}: there is no queue {name}"
    for name, step in pair.allowances.steps.items():
        if step.queue not in known:
            yield f"steps.{name}: there is no queue {step.queue}"
    for queue in pair.allowances.queues:
        if not queue.open or not pair.plans_set:
            continue
        if queue.workspace not in workspaces:
            yield (
                f"queues.{queue.name}: an open queue needs the workspace "
                f"that its work is counted for"
            )


@checks.register("limits")
def check_limits(pair: Pair) -> Iterator[str]:
    """Yields a fault for each limit under which nothing could run."""
    for row in pair.allowances.allowances:
        if row.limit is not None and row.limit == allowances.Amount():
            yield (
                f"allowances.{row.plan}: a limit of nothing lets no work "
                f"run; withdraw the keys instead"
            )


@checks.register("steps")
def check_steps(pair: Pair) -> Iterator[str]:
    """Yields a fault for each unknown step, and each fault of a step."""
    for row in pair.allowances.allowances:
        for name in row.steps:
            if name not in pair.allowances.steps:
                yield f"allowances.{row.plan}: there is no step {name}"
    for name, step in pair.allowances.steps.items():
        for fault in steps.find_faults(step):
            yield f"steps.{name}: {fault}"
