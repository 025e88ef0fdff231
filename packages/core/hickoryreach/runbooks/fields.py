"""Fields of work that the arguments of legacy commands may set."""

from collections.abc import Callable
import dataclasses
import re

from hickoryreach.decisions import registry
from hickoryreach.lists import allowances
from hickoryreach.structure import resources

MS_PER_S = 1_000
MS_PER_MINUTE = 60_000
MILLIS_PER_CORE = 1_000
MB_PER_GB = 1_024
REFERENCE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,99}")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """The work that a legacy command maps to.

    Attributes:
        reference: Name that the legacy command gives to the work.
        tasks: Number of tasks.
        need: Need of one task.
        run_time_ms: Declared run time of one task, in ms.
        wave: Name under which jobs are cancelled together.
        arguments: Arguments of the tasks' command.
    """

    reference: str = ""
    tasks: int = 1
    need: resources.Resources = resources.ZERO
    run_time_ms: int = 0
    wave: str = ""
    arguments: tuple[str, ...] = ()


Setter = Callable[[Work, str], Work]

fields: registry.Registry[str, Setter] = registry.Registry(
    title="argument fields"
)


@fields.register("reference")
def set_reference(work: Work, value: str) -> Work:
    """Sets the reference; a repeated reference denotes the same request.

    Raises:
        ValueError: The value is not a valid reference.
    """
    if not REFERENCE_PATTERN.fullmatch(value):
        raise ValueError("use letters, digits and . _ : / -")
    return dataclasses.replace(work, reference=value)


@fields.register("tasks")
def set_tasks(work: Work, value: str) -> Work:
    """Sets the number of tasks; a range such as 1-12 means its length."""
    first, separator, last = value.partition("-")
    count = int(last) - int(first) + 1 if separator else int(value)
    if not 1 <= count <= allowances.TASKS_MAX:
        raise ValueError(f"ask for 1 to {allowances.TASKS_MAX} tasks")
    return dataclasses.replace(work, tasks=count)


@fields.register("wave")
def set_wave(work: Work, value: str) -> Work:
    """Sets the wave that the work belongs to."""
    return dataclasses.replace(work, wave=value)


@fields.register("argument")
def add_argument(work: Work, value: str) -> Work:
    """Adds an argument of the tasks' command."""
    return dataclasses.replace(work, arguments=(*work.arguments, value))


@fields.register("ignored")
def ignore(work: Work, value: str) -> Work:
    """Ignores an argument that has no equivalent in the cell."""
    return work


@fields.register("cpu_millis")
def set_cpu_millis(work: Work, value: str) -> Work:
    """Sets the processor time of a task in thousandths of a core."""
    return _set_need(work, cpu_millis=int(value))


@fields.register("cpu_cores")
def set_cpu_cores(work: Work, value: str) -> Work:
    """Sets the processor time of a task in cores."""
    return _set_need(work, cpu_millis=round(float(value) * MILLIS_PER_CORE))


@fields.register("memory_mb")
def set_memory_mb(work: Work, value: str) -> Work:
    """Sets the memory of a task in MiB."""
    return _set_need(work, memory_mb=int(value))


@fields.register("memory_gb")
def set_memory_gb(work: Work, value: str) -> Work:
    """Sets the memory of a task in GiB."""
    return _set_need(work, memory_mb=round(float(value) * MB_PER_GB))


@fields.register("run_time_s")
def set_run_time_s(work: Work, value: str) -> Work:
    """Sets the declared run time of a task in seconds."""
    return _set_run_time(work, round(float(value) * MS_PER_S))


@fields.register("run_time_minutes")
def set_run_time_minutes(work: Work, value: str) -> Work:
    """Sets the declared run time of a task in minutes."""
    return _set_run_time(work, round(float(value) * MS_PER_MINUTE))


def _set_need(work: Work, **amounts: int) -> Work:
    if any(
        not 0 <= amount <= allowances.AMOUNT_MAX for amount in amounts.values()
    ):
        raise ValueError("an amount is out of range")
    return dataclasses.replace(
        work, need=dataclasses.replace(work.need, **amounts)
    )


def _set_run_time(work: Work, run_time_ms: int) -> Work:
    if not 0 <= run_time_ms <= allowances.DURATION_MAX_MS:
        raise ValueError("the run time is out of range")
    return dataclasses.replace(work, run_time_ms=run_time_ms)
