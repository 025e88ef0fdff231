"""Sample lists for the two deployments."""

import base64

from hickoryreach.lists import allowances
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from standins import cell

OPERATOR_KEY = "operator-key-for-tests"
WORKSPACES = ("north", "south", "east", "west", "hill", "bay")
OPEN_QUEUE = "public"
LIST_TIME_MS = 1_700_000_000_000

REFERENCE = r"[A-Z]{3}-[0-9]{4}"
SMALL_NEED = allowances.Amount(cpu_millis=500, memory_mb=256)


def caller_key(workspace: str) -> str:
    """Returns the sample key of a workspace."""
    return f"key-of-{workspace}"


def build_plans() -> plans.Plans:
    """Returns six workspaces on two plans."""
    return plans.Plans(
        plans=tuple(
            plans.Plan(
                workspace=name,
                plan="large" if number < 2 else "small",
                keys=(
                    plans.Key(
                        key_id=f"{name}-1",
                        hash=plans.hash_key(caller_key(name)),
                    ),
                ),
            )
            for number, name in enumerate(WORKSPACES)
        ),
        operators=(
            plans.Operator(name="ops", hash=plans.hash_key(OPERATOR_KEY)),
        ),
    )


def build_allowances() -> allowances.Allowances:
    """Returns the allowances of the two plans."""
    steps = {**build_quill(), **build_lodestar(), **build_fernpost()}
    return allowances.Allowances(
        allowances=(
            allowances.Allowance(
                plan="large", share=3.0, steps=tuple(sorted(steps))
            ),
            allowances.Allowance(
                plan="small",
                share=1.0,
                limit=allowances.Amount(
                    cpu_millis=96_000, memory_mb=192_000, slots=64
                ),
                steps=tuple(
                    sorted(name for name in steps if "retire" not in name)
                ),
            ),
        ),
        queues=(
            allowances.Queue(name="default"),
            allowances.Queue(name=OPEN_QUEUE, open=True, workspace="bay"),
        ),
        steps=steps,
    )


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
        "wait_ms": 10_000,
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
            wait_ms=10_000,
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


def build_head(document: plans.Model, revision: int = 1) -> heads.Head:
    """Returns a head whose one change sets the whole document."""
    change = heads.Change(
        revision=revision,
        at_ms=LIST_TIME_MS,
        actor="samples",
        action="set",
        token=f"sample-{revision}",
        put=documents.flatten(document),
    )
    return heads.append(heads.Head(), change)


def write_lists(store_url: str) -> None:
    """Writes both lists straight into the store stand-in."""
    lists = {"plans": build_plans(), "allowances": build_allowances()}
    operations = [
        {
            "KV": {
                "Verb": "set",
                "Key": heads.get_head_key(name),
                "Value": base64.b64encode(
                    heads.pack(build_head(document))
                ).decode(),
            }
        }
        for name, document in lists.items()
    ]
    status, _ = cell.call("PUT", f"{store_url}/v1/txn", operations)
    if status != 200:
        raise RuntimeError(f"the store answered {status}")
