"""Workers as the scheduler sees them."""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """A machine that runs tasks, and the minion on it.

    Attributes:
        worker_id: Name in the platform's instance list.
        failure_domain: Failure domain it stands in.
        rack: Rack it stands in.
        capacity: What it offers in all; slots are its minion's.
        address: `host:port` of its task interface.
        minion_address: `host:port` of its minion, or empty.
        service: Service its minion answers for, or empty.
        departing: Whether the platform is retiring it.
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
    """One attempt that a worker lists as running.

    Attributes:
        key: Identity of the attempt.
        used: Resources it uses now, as reported with a lag.
        allocated: Resources its start named, where the worker tells.
    """

    key: jobs.TaskKey
    used: resources.Resources = resources.ZERO
    allocated: resources.Resources = resources.ZERO
