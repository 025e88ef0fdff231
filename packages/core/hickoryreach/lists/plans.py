"""The list of customers' plans."""

import hashlib
from typing import Annotated

import pydantic

HASH_PATTERN = r"^[0-9a-f]{64}$"
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Hash = Annotated[str, pydantic.Field(pattern=HASH_PATTERN)]


class Model(pydantic.BaseModel):
    """Base of all list models: unknown fields are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Key(Model):
    """A granted key, of which only the hash is kept.

    Attributes:
        key_id: Name of the key, shown in lists and logs.
        hash: SHA-256 of the key, in hexadecimal.
    """

    key_id: Name
    hash: Hash


class Plan(Model):
    """One workspace and its plan.

    Attributes:
        workspace: The workspace.
        plan: Name of the plan in the list of allowances.
        keys: Keys its callers may present.
    """

    workspace: Name
    plan: Name
    keys: tuple[Key, ...] = ()


class Operator(Model):
    """A person who may change the lists.

    Attributes:
        name: Name in the audit trail.
        hash: SHA-256 of the operator's key, in hexadecimal.
    """

    name: Name
    hash: Hash


class Plans(Model):
    """The whole list.

    Attributes:
        plans: One entry for each workspace.
        operators: Who may change the lists.
    """

    plans: tuple[Plan, ...] = ()
    operators: tuple[Operator, ...] = ()


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
