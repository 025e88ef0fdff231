"""API keys: generation, and lookup by hash; only hashes are stored."""

import dataclasses
import secrets

from hickoryreach.lists import plans

KEY_BYTES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyIndex:
    """Index from key hashes to the plans and operators that hold the keys.

    A lookup hashes the presented key and compares hashes. Its timing reveals
    nothing about a key, since nobody can choose the prefix of a hash.

    Attributes:
        callers: Plans by hash of each of their keys.
        operators: Operators by hash of their key.
        workspaces: Plans by workspace.
    """

    callers: dict[str, plans.Plan]
    operators: dict[str, plans.Operator]
    workspaces: dict[str, plans.Plan]

    def find_caller(self, key: str) -> plans.Plan | None:
        """Returns the plan that a key belongs to; None if it is unknown."""
        return self.callers.get(plans.hash_key(key))

    def find_operator(self, key: str) -> plans.Operator | None:
        """Returns the operator that a key belongs to; None if it is unknown."""
        return self.operators.get(plans.hash_key(key))


def build_index(document: plans.Plans) -> KeyIndex:
    """Returns the index of all keys in the list of plans."""
    return KeyIndex(
        callers={
            key.hash: plan for plan in document.plans for key in plan.keys
        },
        operators={operator.hash: operator for operator in document.operators},
        workspaces={plan.workspace: plan for plan in document.plans},
    )


def make_key() -> str:
    """Returns a new key from the random source of the operating system."""
    return secrets.token_urlsafe(KEY_BYTES)
