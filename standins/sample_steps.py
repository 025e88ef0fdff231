"""Commands of three retired systems, and the work they map to."""

from hickoryreach.lists import allowances
from hickoryreach.structure import jobs

REFERENCE = r"[A-Z]{3}-[0-9]{4}"
SMALL_NEED = allowances.Amount(cpu_millis=500, memory_mb=256)
WAIT_MS = 10_000


def build() -> dict[str, allowances.Step]:
    """Returns every sample step by `system.command`."""
    return {**build_quill(), **build_lodestar(), **build_fernpost()}


def build_quill() -> dict[str, allowances.Step]:
    """Returns the commands of quill: short options, issuance runs."""
    name = {"-N": allowances.Argument(field="reference", required=True)}
    words = {
        jobs.JobState.ACCEPTED: "qw",
        jobs.JobState.RUNNING: "r",
        jobs.JobState.SUCCEEDED: "z",
        jobs.JobState.FAILED: "Eqw",
        jobs.JobState.CANCELLED: "dz",
    }
    return {
        "quill.qsend": allowances.Step(
            action="submit",
            arguments={
                **name,
                "-t": allowances.Argument(field="tasks", default="1"),
                "-c": allowances.Argument(field="cpu_cores"),
                "-m": allowances.Argument(field="memory_mb"),
                "-w": allowances.Argument(field="wave"),
                "-V": allowances.Argument(field="ignored"),
                "script": allowances.Argument(field="ignored"),
                "args": allowances.Argument(field="argument", repeated=True),
            },
            kind=jobs.Kind.BATCH,
            command="issue",
            need=SMALL_NEED,
            output='Your job "$reference" has been submitted',
        ),
        "quill.qshow": allowances.Step(
            action="status",
            arguments=name,
            output="$reference $state $done/$tasks",
            words=words,
        ),
        "quill.qdrop": allowances.Step(
            action="cancel",
            arguments=name,
            output='Your job "$reference" has been deleted',
            exit_codes={jobs.JobState.CANCELLED: 0},
        ),
    }


def build_lodestar() -> dict[str, allowances.Step]:
    """Returns the commands of lodestar: name=value pairs, transfers."""
    name = {
        "job": allowances.Argument(
            field="reference", required=True, pattern=REFERENCE
        )
    }
    return {
        "lodestar.LSUB": allowances.Step(
            action="submit",
            style="pairs",
            arguments={
                **name,
                "count": allowances.Argument(field="tasks", default="1"),
                "time": allowances.Argument(field="run_time_minutes"),
                "parm": allowances.Argument(field="argument", repeated=True),
            },
            kind=jobs.Kind.GANG,
            command="transfer",
            need=SMALL_NEED,
            output="LDS0100I JOB $reference ACCEPTED",
        ),
        "lodestar.LSTART": allowances.Step(
            action="submit",
            style="pairs",
            arguments={
                **name,
                "count": allowances.Argument(field="tasks", default="2"),
            },
            kind=jobs.Kind.SERVICE,
            command="feed",
            need=SMALL_NEED,
            output="LDS0101I STARTED $reference",
        ),
        "lodestar.LQRY": allowances.Step(
            action="status",
            style="pairs",
            arguments=name,
            output="LDS0200I JOB $reference STATUS $state",
            words={state: str(state).upper() for state in jobs.JobState},
        ),
        "lodestar.LPURGE": allowances.Step(
            action="cancel",
            style="pairs",
            arguments=name,
            output="LDS0300I JOB $reference PURGED",
            exit_codes={jobs.JobState.CANCELLED: 0},
        ),
    }


def build_fernpost() -> dict[str, allowances.Step]:
    """Returns the commands of fernpost: positions, checks and vouchers."""
    name = {
        "ref": allowances.Argument(
            field="reference", required=True, pattern=REFERENCE
        )
    }
    rest = {"member": allowances.Argument(field="argument", repeated=True)}
    request = {
        "action": "submit",
        "style": "positions",
        "arguments": {**name, **rest},
        "kind": jobs.Kind.REQUEST,
        "wait_ms": WAIT_MS,
    }
    return {
        "fernpost.check": allowances.Step(
            **request,
            command="check",
            service="registry",
            output="$reference checked: $state",
        ),
        "fernpost.retire": allowances.Step(
            **request,
            command="retire",
            service="registry",
            idempotent=False,
            output="$reference retired: $state",
        ),
        "fernpost.voucher": allowances.Step(
            **request,
            command="voucher",
            service="vouchers",
            idempotent=False,
            output="$reference sent: $state",
        ),
        "fernpost.vouchers": allowances.Step(
            action="submit",
            style="positions",
            arguments={
                **name,
                "count": allowances.Argument(field="tasks", required=True),
                **rest,
            },
            kind=jobs.Kind.BATCH,
            command="vouchers",
            idempotent=False,
            need=SMALL_NEED,
            wait_ms=WAIT_MS,
            output="$reference: $done of $tasks vouchers $state",
        ),
        "fernpost.show": allowances.Step(
            action="status",
            style="positions",
            arguments=name,
            output="$reference is $state",
        ),
        "fernpost.withdraw": allowances.Step(
            action="cancel",
            style="positions",
            arguments=name,
            output="$reference withdrawn: $state",
            exit_codes={jobs.JobState.CANCELLED: 0},
        ),
    }
