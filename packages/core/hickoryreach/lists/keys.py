"""Keys: made here, kept only as hashes, found by digest."""

import dataclasses
import secrets

from hickoryreach.lists import plans

KEY_BYTES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Index:
    """Who presents which key, by the key's digest.

    A lookup compares digests of what was presented. Its timing tells
    nothing of a key, since nobody can choose a digest's prefix.

    Attributes:
        callers: Plans by hash of a caller's key.
        operators: Operators by hash of their key.
        workspaces: Plans by workspace.
    """

    callers: dict[str, plans.Plan]
    operators: dict[str, plans.Operator]
    workspaces: dict[str, plans.Plan]

    def find_caller(self, key: str) -> plans.Plan | None:
        """Returns the plan whose key this is, or None."""
        return self.callers.get(plans.hash_key(key))

    def find_operator(self, key: str) -> plans.Operator | None:
        """Returns the operator whose key this is, or None."""
        return self.operators.get(plans.hash_key(key))


def build_index(document: plans.Plans) -> Index:
    """Returns the index of every key in the list of plans."""
    return Index(
        callers={
            key.hash: plan for plan in document.plans for key in plan.keys
        },
        operators={operator.hash: operator for operator in document.operators},
        workspaces={plan.workspace: plan for plan in document.plans},
    )


def make_key() -> str:
    """Returns a new key from the system's random source."""
    return secrets.token_urlsafe(KEY_BYTES)
