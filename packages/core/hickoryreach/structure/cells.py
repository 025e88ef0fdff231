"""Configuration of a cell and its registered minions."""

import dataclasses

from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceTerms:
    """Cost of a call to the advice service for one queue.

    Attributes:
        call_ms: Time of a call, in ms.
        minion_ms: Additional time for each minion in the call, in ms.
        valid_ms: Validity of a ticket, in ms.
    """

    call_ms: float
    minion_ms: float
    valid_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host: Host of the requests that belong to the queue.
        prefix: Prefix of the paths that belong to the queue.
        service: Service whose minions run its tasks.
        rank: Priority; a lower rank goes first and may preempt a higher one.
        attempts: Number of failed runs of one task that fail the job.
        stretch: Part of the completion objective that grows with the job, as
            a multiple of the job's own run time.
        objective_ms: Fixed part of the completion objective, in ms.
        open: Whether callers need no key.
        advice: Cost of the advice that the queue requires, or None.
    """

    name: str
    host: str
    prefix: str
    service: str
    rank: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    open: bool = False
    advice: AdviceTerms | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace and the resources that it may use.

    Attributes:
        name: Name of the workspace.
        keys: API keys of its callers.
        share: Weight in the division of a full cell.
        limit: Maximum resources of its running tasks; a component of 0 means
            no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    share: float = 1.0
    limit: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service whose minions run tasks.

    Attributes:
        name: Name of the service.
        rejects_overload: Whether its minions refuse tasks that do not fit.
        standby: Whether its workers are switched off.
    """

    name: str
    rejects_overload: bool = False
    standby: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """A configuration that the operator has put in force.

    Attributes:
        version: Version number; a later configuration has a higher one.
        queues: Queues by name.
        services: Services by name.
        workspaces: Workspaces by name.
        body_limit: Maximum size of a caller's request body, in bytes.
    """

    version: int
    queues: dict[str, Queue]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    body_limit: int = 262_144


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Minion:
    """The registration of a minion.

    Attributes:
        minion_id: Id of the minion.
        service: Service that the minion belongs to.
        address: `host:port` of its task interface.
        failure_domain: Failure domain of the minion.
        capacity: Total resources of the minion.
        labels: Kind and rack of the minion.
        draining: Whether the minion is about to leave the cell.
        remaining_ms: Shortest time until a draining minion leaves, counted
            from its registration; -1 if not reported.
        incarnation: Start of the minion's process, in ms since 1970; 0 if
            not reported.
        machine: Name of its worker, or empty.
    """

    minion_id: str
    service: str
    address: str
    failure_domain: str
    capacity: resources.Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: int = -1
    incarnation: int = 0
    machine: str = ""
