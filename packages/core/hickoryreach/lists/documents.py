"""Lists as flat maps from path to value, for deltas and readable diffs.

A path names every level, as in `plans/north/keys/north-1/hash`. Collections
are ordered by name, so that two documents differ only where they mean
different things.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

import pydantic

from hickoryreach.lists import allowances
from hickoryreach.lists import plans

SEPARATOR = "/"
MASKED = "(hash)"
ANY = "*"
COLLECTIONS = {
    ("plans",): "workspace",
    ("plans", ANY, "keys"): "key_id",
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
    """What turns one document into another.

    Attributes:
        put: New value of each path that was added or changed.
        removed: Paths that are gone.
    """

    put: Mapping[str, object]
    removed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether both documents are the same."""
        return not self.put and not self.removed


def flatten(document: pydantic.BaseModel) -> FlatDocument:
    """Returns a document as a flat map."""
    return dict(_walk((), document.model_dump(mode="json")))


def _walk(path: tuple[str, ...], value: object) -> Iterator[tuple[str, object]]:
    identity = _find_identity(path)
    if identity and isinstance(value, list):
        value = {
            row[identity]: {
                name: part for name, part in row.items() if name != identity
            }
            for row in value
        }
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _walk((*path, name), part)
    else:
        yield SEPARATOR.join(path), value


def unflatten(name: str, flat: Mapping[str, object]) -> plans.Model:
    """Returns the document of the list `name` in a flat map.

    Raises:
        pydantic.ValidationError: The map holds no valid document.
    """
    tree: dict = {}
    for path, value in flat.items():
        *parents, leaf = path.split(SEPARATOR)
        node = tree
        for parent in parents:
            node = node.setdefault(parent, {})
        node[leaf] = value
    return MODELS[name].model_validate(_collect((), tree))


def _collect(path: tuple[str, ...], value: object) -> object:
    if not isinstance(value, dict):
        return value
    members = {
        name: _collect((*path, name), part) for name, part in value.items()
    }
    identity = _find_identity(path)
    if not identity:
        return members
    return [{identity: name, **members[name]} for name in sorted(members)]


def _find_identity(path: tuple[str, ...]) -> str:
    for pattern, identity in COLLECTIONS.items():
        if len(pattern) == len(path) and all(
            want in (ANY, have)
            for want, have in zip(pattern, path, strict=True)
        ):
            return identity
    return ""


def compute_delta(before: FlatDocument, after: FlatDocument) -> Delta:
    """Returns what turns `before` into `after`."""
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
    """Returns one readable line for each path of a delta."""
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
    """Returns a value for people; a hash is masked."""
    return MASKED if path.endswith("hash") else value
