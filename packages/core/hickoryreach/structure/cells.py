"""What a cell consists of: queues, workspaces and minions."""

import dataclasses

from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceTerms:
    """How long the advice service takes for one queue.

    Attributes:
        call_ms: Time of a call.
        minion_ms: Further time for each minion named.
        valid_ms: How long a ticket may be used.
    """

    call_ms: float
    minion_ms: float
    valid_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Its name.
        host: Host that callers name.
        prefix: Start of the paths that belong to it.
        service: Service whose minions run its tasks.
        rank: Lower goes first and may displace higher.
        attempts: Failed runs of a task that fail its job.
        stretch: Objective in multiples of the job's own work.
        objective_ms: Time that the objective adds.
        open: Whether callers need no key.
        advice: Terms of the advice it needs, or None.
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
    """A workspace and what it may use.

    Attributes:
        name: Its name.
        keys: Keys that its callers present.
        share: Its share when the cell is full.
        limit: Most that it may have running; a component of 0 is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    share: float = 1.0
    limit: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service whose minions run tasks.

    Attributes:
        name: Its name.
        rejects_overload: Whether its minions refuse what does not fit.
        standby: Whether its machines are switched off.
    """

    name: str
    rejects_overload: bool = False
    standby: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """The configuration that the operator has put in force.

    Attributes:
        version: Its number; later ones are higher.
        queues: Queues by name.
        services: Services by name.
        workspaces: Workspaces by name.
        body_limit: Largest body of a caller's request, in bytes.
    """

    version: int
    queues: dict[str, Queue]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    body_limit: int = 262_144


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Minion:
    """A minion as it has registered itself.

    Attributes:
        minion_id: Its id.
        service: Service that it belongs to.
        address: `host:port` of its task interface.
        failure_domain: Failure domain it stands in.
        capacity: What it offers in all.
        labels: Its kind and its rack.
        draining: Whether it is about to leave.
        incarnation: When this life of it began, in ms since 1970; 0 if not
            told.
        machine: Name of its machine, or empty.
    """

    minion_id: str
    service: str
    address: str
    failure_domain: str
    capacity: resources.Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    incarnation: int = 0
    machine: str = ""
