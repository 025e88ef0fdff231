"""Workers and the attempts that run on them."""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """A machine that runs tasks, and the minion on it.

    Attributes:
        worker_id: Name in the platform's instance list.
        failure_domain: Failure domain of the worker.
        rack: Rack of the worker.
        capacity: Total resources of the worker; the slots are those of its
            minion.
        address: `host:port` of its task interface.
        minion_address: `host:port` of its minion, or empty.
        service: Service of its minion, or empty.
        departing: Whether the platform is retiring the worker.
    """

    worker_id: str
    failure_domain: str
    rack: str
    capacity: resources.Resources
    address: str = ""
    minion_address: str = ""
    service: str = ""
    departing: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """An attempt that a worker reports as running.

    Attributes:
        key: Identity of the attempt.
        used: Resources in use, as reported with a delay.
        allocated: Resources that its start order named; zero if the worker
            does not report them.
    """

    key: jobs.TaskKey
    used: resources.Resources = resources.ZERO
    allocated: resources.Resources = resources.ZERO
