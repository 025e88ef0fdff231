"""Conversion of lists to flat path-to-value maps, with deltas and diffs.

A path joins the names of all levels, as in `plans/north/keys/north-1/hash`.
The members of a collection are sorted by name, so that the order in which
they were written makes no difference between two documents.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

import pydantic

from hickoryreach.lists import allowances
from hickoryreach.lists import plans

PATH_SEPARATOR = "/"
HASH_PLACEHOLDER = "(hash)"
WILDCARD = "*"
COLLECTION_IDENTITIES = {
    ("plans",): "workspace",
    ("plans", WILDCARD, "keys"): "key_id",
    ("operators",): "name",
    ("allowances",): "plan",
    ("queues",): "name",
}
MODELS: dict[str, type[plans.Model]] = {
    "plans": plans.Plans,
    "allowances": allowances.Allowances,
}
LIST_NAMES = tuple(MODELS)

FlatDocument = dict[str, object]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """The difference between two flat documents.

    Attributes:
        put: New value of each path that was added or changed.
        removed: Paths that were removed.
    """

    put: Mapping[str, object]
    removed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the two documents are equal."""
        return not self.put and not self.removed


def flatten(document: pydantic.BaseModel) -> FlatDocument:
    """Returns a document as a flat map."""
    return dict(_flatten_value((), document.model_dump(mode="json")))


def _flatten_value(
    path: tuple[str, ...], value: object
) -> Iterator[tuple[str, object]]:
    identity = _get_identity_field(path)
    if identity and isinstance(value, list):
        value = {
            row[identity]: {
                name: member for name, member in row.items() if name != identity
            }
            for row in value
        }
    if isinstance(value, dict):
        for name, member in value.items():
            yield from _flatten_value((*path, name), member)
    else:
        yield PATH_SEPARATOR.join(path), value


def unflatten(name: str, flat: Mapping[str, object]) -> plans.Model:
    """Returns the document that a flat map represents.

    Args:
        name: Name of the list, a member of LIST_NAMES.
        flat: The document as a flat map.

    Raises:
        pydantic.ValidationError: The map is not a valid document.
    """
    tree: dict = {}
    for path, value in flat.items():
        *parents, leaf = path.split(PATH_SEPARATOR)
        node = tree
        for parent in parents:
            node = node.setdefault(parent, {})
        node[leaf] = value
    return MODELS[name].model_validate(_build_value((), tree))


def _build_value(path: tuple[str, ...], value: object) -> object:
    if not isinstance(value, dict):
        return value
    members = {
        name: _build_value((*path, name), member)
        for name, member in value.items()
    }
    identity = _get_identity_field(path)
    if not identity:
        return members
    return [{identity: name, **members[name]} for name in sorted(members)]


def _get_identity_field(path: tuple[str, ...]) -> str:
    for pattern, identity in COLLECTION_IDENTITIES.items():
        if len(pattern) == len(path) and all(
            expected in (WILDCARD, actual)
            for expected, actual in zip(pattern, path, strict=True)
        ):
            return identity
    return ""


def compute_delta(before: FlatDocument, after: FlatDocument) -> Delta:
    """Returns the delta that turns `before` into `after`."""
    return Delta(
        put={
            path: value
            for path, value in sorted(after.items())
            if path not in before or before[path] != value
        },
        removed=tuple(sorted(before.keys() - after.keys())),
    )


def apply_delta(before: FlatDocument, delta: Delta) -> FlatDocument:
    """Returns `before` with a delta applied."""
    after = {**before, **delta.put}
    for path in delta.removed:
        after.pop(path, None)
    return after


def describe_delta(before: FlatDocument, delta: Delta) -> list[str]:
    """Returns one readable line for each path that a delta changes.

    Args:
        before: The document that the delta applies to.
        delta: The delta.
    """
    removed = [
        f"- {path}: {mask_hash(path, before[path])}" for path in delta.removed
    ]
    return removed + [
        f"~ {path}: {mask_hash(path, before[path])} -> {mask_hash(path, value)}"
        if path in before
        else f"+ {path}: {mask_hash(path, value)}"
        for path, value in delta.put.items()
    ]


def mask_hash(path: str, value: object) -> object:
    """Returns a value for display, or a placeholder where it is a hash."""
    return HASH_PLACEHOLDER if path.endswith("hash") else value
