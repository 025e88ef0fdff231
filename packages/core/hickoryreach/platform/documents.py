"""Documents that the operator and the minions write to the store."""

from collections.abc import Iterable
import ipaddress
import logging
from typing import Annotated

import pydantic
from pydantic import alias_generators
from returns import result

from hickoryreach.platform import numbers
from hickoryreach.structure import cells
from hickoryreach.structure import resources

log = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
MINIONS_PREFIX = "servers/"
READY = "ready"
DRAINING = "draining"
MAX_PORT = 65_535
MAX_AMOUNT = numbers.MAX_WHOLE
MAX_INT64 = 2**63 - 1  # messages between entries carry 64-bit numbers
MAX_NAME_LENGTH = 200
MAX_LABELS = 100

Count = Annotated[int, pydantic.Field(ge=0, le=MAX_AMOUNT)]
Integer = Annotated[int, pydantic.Field(ge=-MAX_INT64, le=MAX_INT64)]
Whole = Annotated[int, pydantic.Field(ge=0, le=MAX_INT64)]
Number = Annotated[
    float,
    pydantic.Field(ge=-(2.0**63), lt=2.0**63, allow_inf_nan=False),
]
Name = Annotated[str, pydantic.Field(max_length=MAX_NAME_LENGTH)]


class Document(pydantic.BaseModel):
    """Base of documents read from the platform, with names in camel case."""

    model_config = pydantic.ConfigDict(
        alias_generator=alias_generators.to_camel, extra="ignore"
    )


class Amount(Document):
    """An amount of each resource; `cpu` is in thousandths of a core."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0

    def decode(self) -> resources.Resources:
        """Returns the amount as the scheduler represents it."""
        return resources.Resources(
            cpu_millis=self.cpu,
            memory_mb=self.mem_mb,
            accelerators=self.gpu,
        )


class AdviceRow(Document):
    """Terms of the advice for a queue; `periodMs` is the time per minion."""

    decide_ms: Number
    period_ms: Number = 0.0
    valid_ms: Integer = 0


class RouteRow(Document):
    """A route, which the scheduler calls a queue."""

    name: str
    host: str = ""
    prefix: str
    service: str
    priority: Integer = 0
    attempts: Integer = 1
    stretch: Number = 1.0
    target_latency_ms: Integer = 0
    no_auth: bool = False
    advice: AdviceRow | None = None

    def decode(self) -> cells.Queue:
        """Returns the queue as the scheduler represents it."""
        terms = self.advice and cells.AdviceTerms(
            call_ms=self.advice.decide_ms,
            minion_ms=self.advice.period_ms,
            valid_ms=self.advice.valid_ms,
        )
        return cells.Queue(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            service=self.service,
            rank=self.priority,
            attempts=max(1, self.attempts),
            stretch=self.stretch,
            objective_ms=self.target_latency_ms,
            open=self.no_auth,
            advice=terms,
        )


class ServiceRow(Document):
    """A service whose minions run tasks."""

    name: str
    rejects_overload: bool = False
    standby: bool = False


class TenantRow(Document):
    """A tenant, which the scheduler calls a workspace.

    `ceiling` limits the resources of its running tasks.
    """

    name: str
    api_keys: list[str] = []
    weight: Number = 1.0
    ceiling: Amount = Amount()


class LimitRow(Document):
    """Limits on callers' requests."""

    max_body_bytes: Integer = 262_144


class ConfigurationDocument(Document):
    """The operator's configuration."""

    version: Integer
    routes: list[RouteRow] = []
    services: list[ServiceRow] = []
    tenants: list[TenantRow] = []
    limits: LimitRow = LimitRow()


class RegistrationDocument(Document):
    """Registration of a minion.

    `born` is the start of its process, in ms since 1970.
    """

    service: Annotated[Name, pydantic.Field(min_length=1)]
    address: Name
    zone: Name
    state: Name
    capacity: Amount
    labels: Annotated[list[Name], pydantic.Field(max_length=MAX_LABELS)] = []
    remaining_ms: Number | None = None
    born: Whole = 0
    machine: Name = ""

    @pydantic.field_validator("address")
    @classmethod
    def check_address(cls, address: str) -> str:
        """Checks that an address is an IP address and a port.

        An IPv6 address has brackets. The port has ASCII digits only.

        Raises:
            ValueError: It is not.
        """
        host, _, port = address.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
        is_number = port.isascii() and port.isdigit()
        if not is_number or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"port must be from 1 to {MAX_PORT}")
        return address

    def get_remaining_ms(self) -> int:
        """Returns the time until the minion leaves in ms, -1 if unknown."""
        if self.remaining_ms is None or self.remaining_ms >= MAX_AMOUNT:
            return -1
        return max(0, int(self.remaining_ms))


def parse_configuration(
    data: bytes,
) -> result.Result[cells.Configuration, str]:
    """Returns the configuration in a document, or the faults in it."""
    try:
        document = ConfigurationDocument.model_validate_json(data)
    except pydantic.ValidationError as error:
        return result.Failure(describe_faults(error))
    return result.Success(
        cells.Configuration(
            version=document.version,
            queues={row.name: row.decode() for row in document.routes},
            services={
                row.name: cells.Service(
                    name=row.name,
                    rejects_overload=row.rejects_overload,
                    standby=row.standby,
                )
                for row in document.services
            },
            workspaces={
                row.name: cells.Workspace(
                    name=row.name,
                    keys=tuple(row.api_keys),
                    share=max(row.weight, 0.001),
                    limit=row.ceiling.decode(),
                )
                for row in document.tenants
            },
            body_limit=document.limits.max_body_bytes,
        )
    )


def parse_minion(key: str, data: bytes) -> result.Result[cells.Minion, str]:
    """Returns the minion in a registration, or the faults in it."""
    minion_id = key.removeprefix(MINIONS_PREFIX)
    if not minion_id or not (minion_id.isascii() and minion_id.isprintable()):
        return result.Failure("key: the id must be printable ASCII text")
    try:
        document = RegistrationDocument.model_validate_json(data, strict=True)
    except pydantic.ValidationError as error:
        return result.Failure(describe_faults(error))
    if document.state not in (READY, DRAINING):
        return result.Failure(f"state: unknown value {document.state[:20]!r}")
    return result.Success(
        cells.Minion(
            minion_id=minion_id,
            service=document.service,
            address=document.address,
            failure_domain=document.zone,
            capacity=document.capacity.decode(),
            labels=tuple(document.labels),
            draining=document.state == DRAINING,
            remaining_ms=document.get_remaining_ms(),
            incarnation=document.born,
            machine=document.machine,
        )
    )


def describe_faults(error: pydantic.ValidationError) -> str:
    """Returns the first three faults of a document, each with its path."""
    rows: Iterable = error.errors(include_input=False)
    return "; ".join(
        f"{'.'.join(str(part) for part in row['loc'])}: {row['msg']}"
        for row in list(rows)[:3]
    )
