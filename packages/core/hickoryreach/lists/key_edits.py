"""Edits of the list of plans that grant and withdraw keys."""

from collections.abc import Callable

from returns import result

from hickoryreach.lists import edits
from hickoryreach.lists import plans

Keys = tuple[plans.Key, ...]
Build = Callable[[plans.Plans], result.Result[plans.Plans, edits.Refused]]


def grant_key(workspace: str, key: plans.Key) -> Build:
    """Returns a function that adds a key to a workspace.

    Adding a key that the workspace already has leaves the list unchanged.
    """

    def add(keys: Keys) -> Keys:
        return keys if key in keys else (*keys, key)

    return lambda document: _change_keys(document, workspace, add)


def withdraw_key(workspace: str, key_id: str) -> Build:
    """Returns a function that removes a key from a workspace.

    Removing a key that the workspace lacks leaves the list unchanged.
    """

    def remove(keys: Keys) -> Keys:
        return tuple(row for row in keys if row.key_id != key_id)

    return lambda document: _change_keys(document, workspace, remove)


def _change_keys(
    document: plans.Plans, workspace: str, change: Callable[[Keys], Keys]
) -> result.Result[plans.Plans, edits.Refused]:
    if workspace not in [row.workspace for row in document.plans]:
        return result.Failure(
            edits.Refused(faults=(f"there is no workspace {workspace}",))
        )
    rows = tuple(
        row.model_copy(update={"keys": change(row.keys)})
        if row.workspace == workspace
        else row
        for row in document.plans
    )
    return result.Success(document.model_copy(update={"plans": rows}))
