"""Sample lists for the two deployments."""

import base64

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from standins import cell

OPERATOR_KEY = "operator-key-for-tests"
WORKSPACES = ("north", "south", "east", "west", "hill", "bay")


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
    return allowances.Allowances(
        allowances=(
            allowances.Allowance(plan="large", share=3.0),
            allowances.Allowance(
                plan="small",
                share=1.0,
                limit=allowances.Amount(
                    cpu_millis=96_000, memory_mb=192_000, slots=64
                ),
            ),
        )
    )


def write_lists(store_url: str) -> None:
    """Writes both lists straight into the store stand-in."""
    documents = {"plans": build_plans(), "allowances": build_allowances()}
    operations = [
        {
            "KV": {
                "Verb": "set",
                "Key": f"hickoryreach/lists/{name}",
                "Value": base64.b64encode(
                    (
                        '{"revision":1,"document":'
                        + document.model_dump_json()
                        + "}"
                    ).encode()
                ).decode(),
            }
        }
        for name, document in documents.items()
    ]
    status, _ = cell.call("PUT", f"{store_url}/v1/txn", operations)
    if status != 200:
        raise RuntimeError(f"the store answered {status}")
