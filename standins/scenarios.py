"""What the demo runs on each deployment, and the answers it must get."""

import dataclasses

from hickoryreach.runbooks import steps
from standins import cell


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a runbook, and the whole answer it must get.

    Attributes:
        system: The old system.
        line: Its command.
        output: Expected standard output.
        code: Expected exit code.
        workspace: Workspace whose key goes with it.
        error: Expected part of standard error.
        repeated: Whether it is asked again until the output is right.
    """

    system: str
    line: str
    output: str = ""
    code: int = steps.EXIT_OK
    workspace: str = "north"
    error: str = ""
    repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """Work that the steps map to, and how often a worker must run it.

    Attributes:
        system: The old system.
        reference: Its reference there.
        kind: Kind of work.
        starts: Tasks or requests that the workers must have begun and ended.
        workspace: Workspace it is counted for.
    """

    system: str
    reference: str
    kind: str
    starts: int
    workspace: str = "north"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """What is run on one deployment.

    Attributes:
        deployment: The deployment.
        steps: The steps, in order.
        work: What must have run at the end.
    """

    deployment: cell.Deployment
    steps: tuple[Step, ...]
    work: tuple[Work, ...]


GANG_STEPS = (
    Step(
        system="lodestar",
        line="LSUB JOB=TRF-0091,COUNT=6 PARM=wind",
        output="LDS0100I JOB TRF-0091 ACCEPTED",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=TRF-0091",
        output="LDS0200I JOB TRF-0091 STATUS SUCCEEDED",
        repeated=True,
    ),
)
SERVICE_STEPS = (
    Step(
        system="lodestar",
        line="LSTART JOB=FED-0001,COUNT=2",
        output="LDS0101I STARTED FED-0001",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=FED-0001",
        output="LDS0200I JOB FED-0001 STATUS RUNNING",
        repeated=True,
    ),
    Step(
        system="lodestar",
        line="LPURGE JOB=FED-0001",
        output="LDS0300I JOB FED-0001 PURGED",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=FED-0001",
        output="LDS0200I JOB FED-0001 STATUS CANCELLED",
        code=steps.EXIT_FAILED,
        repeated=True,
    ),
)
REFUSED_STEPS = (
    Step(
        system="fernpost",
        line="retire RET-0002 certificate-8",
        code=steps.EXIT_NOT_RUN,
        workspace="east",
        error="Plan small may not use fernpost.retire. Use one of: ",
    ),
    Step(
        system="quill",
        line="qmove -N july",
        code=steps.EXIT_NOT_RUN,
        error="quill.qmove is not mapped. Use one of: ",
    ),
)
GANG = Work(system="lodestar", reference="TRF-0091", kind="gang", starts=6)
SERVICE = Work(
    system="lodestar", reference="FED-0001", kind="service", starts=2
)
REFUSED = Work(
    system="fernpost",
    reference="RET-0002",
    kind="refused",
    starts=0,
    workspace="east",
)

CEDARLINE = Scenario(
    deployment=cell.Deployment(name="cedarline", service="registry"),
    steps=(
        Step(
            system="quill",
            line="qsend -N ISS-2026-07 -t 1-12 -c 0.5 run.sh hydro-7",
            output='Your job "ISS-2026-07" has been submitted',
        ),
        Step(
            system="quill",
            line="qshow -N ISS-2026-07",
            output="ISS-2026-07 z 12/12",
            repeated=True,
        ),
        Step(
            system="quill",
            line="qsend -N ISS-2026-07 -t 1-12 -c 0.5 run.sh hydro-7",
            output='Your job "ISS-2026-07" has been submitted',
        ),
        *GANG_STEPS,
        *SERVICE_STEPS,
        Step(
            system="fernpost",
            line="check CHK-0001 certificate-9",
            output="CHK-0001 checked: succeeded",
        ),
        Step(
            system="fernpost",
            line="retire RET-0001 certificate-9",
            output="RET-0001 retired: succeeded",
        ),
        *REFUSED_STEPS,
    ),
    work=(
        Work(system="quill", reference="ISS-2026-07", kind="batch", starts=12),
        GANG,
        SERVICE,
        Work(system="fernpost", reference="CHK-0001", kind="request", starts=1),
        Work(system="fernpost", reference="RET-0001", kind="request", starts=1),
        REFUSED,
    ),
)
ASSOCIATION = Scenario(
    deployment=cell.Deployment(name="association", service="vouchers"),
    steps=(
        Step(
            system="fernpost",
            line="vouchers VCH-2031 12 member-17",
            output="VCH-2031: 12 of 12 vouchers succeeded",
        ),
        Step(
            system="fernpost",
            line="show VCH-2031",
            output="VCH-2031 is succeeded",
        ),
        Step(
            system="fernpost",
            line="voucher VCH-2032 member-18",
            output="VCH-2032 sent: succeeded",
        ),
        Step(
            system="fernpost",
            line="voucher VCH-2032 member-18",
            output="VCH-2032 sent: succeeded",
        ),
        *GANG_STEPS,
        *SERVICE_STEPS,
        *REFUSED_STEPS,
    ),
    work=(
        Work(system="fernpost", reference="VCH-2031", kind="batch", starts=12),
        Work(system="fernpost", reference="VCH-2032", kind="request", starts=1),
        GANG,
        SERVICE,
        REFUSED,
    ),
)
