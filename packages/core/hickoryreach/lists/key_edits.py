"""What granting and withdrawing a key does to the list of plans."""

from collections.abc import Callable

from returns import result

from hickoryreach.lists import editor
from hickoryreach.lists import plans


def grant_key(
    workspace: str, key: plans.Key
) -> Callable[[plans.Plans], result.Result[plans.Plans, editor.Refused]]:
    """Returns what adds a key to a workspace; twice does no harm."""

    def build(
        document: plans.Plans,
    ) -> result.Result[plans.Plans, editor.Refused]:
        return _change_keys(
            document,
            workspace,
            lambda keys: keys if key in keys else (*keys, key),
        )

    return build


def withdraw_key(
    workspace: str, key_id: str
) -> Callable[[plans.Plans], result.Result[plans.Plans, editor.Refused]]:
    """Returns what takes a key from a workspace; twice does no harm."""

    def build(
        document: plans.Plans,
    ) -> result.Result[plans.Plans, editor.Refused]:
        return _change_keys(
            document,
            workspace,
            lambda keys: tuple(row for row in keys if row.key_id != key_id),
        )

    return build


def _change_keys(
    document: plans.Plans,
    workspace: str,
    change_row: Callable[[tuple[plans.Key, ...]], tuple[plans.Key, ...]],
) -> result.Result[plans.Plans, editor.Refused]:
    if workspace not in [row.workspace for row in document.plans]:
        return result.Failure(
            editor.Refused(faults=(f"there is no workspace {workspace}",))
        )
    rows = tuple(
        row.model_copy(update={"keys": change_row(row.keys)})
        if row.workspace == workspace
        else row
        for row in document.plans
    )
    return result.Success(document.model_copy(update={"plans": rows}))
