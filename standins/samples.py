"""Sample lists for the two deployments."""

import base64

from hickoryreach.lists import allowances
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from standins import cell
from standins import sample_steps

OPERATOR_KEY = "operator-key-for-tests"
WORKSPACES = ("north", "south", "east", "west", "hill", "bay")
OPEN_QUEUE = "public"
LIST_TIME_MS = 1_700_000_000_000


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
    steps = sample_steps.build()
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
    return heads.append_change(heads.Head(), change)


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
