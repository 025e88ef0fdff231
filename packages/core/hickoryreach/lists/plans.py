"""Models of the list of plans: workspaces, their keys, and operators."""

import hashlib
from typing import Annotated

import pydantic

HASH_PATTERN = r"^[0-9a-f]{64}$"
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Hash = Annotated[str, pydantic.Field(pattern=HASH_PATTERN)]


class Model(pydantic.BaseModel):
    """Base class of the list models, which are immutable.

    Unknown fields are validation errors.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Key(Model):
    """An API key of a workspace, of which only the hash is stored.

    Attributes:
        key_id: Public name of the key, which lists and logs contain.
        hash: SHA-256 of the key, in hexadecimal.
    """

    key_id: Name
    hash: Hash


class Plan(Model):
    """One workspace and its plan.

    Attributes:
        workspace: Name of the workspace.
        plan: Name of its plan in the list of allowances.
        keys: Keys that its callers may use.
    """

    workspace: Name
    plan: Name
    keys: tuple[Key, ...] = ()


class Operator(Model):
    """A person who may change the lists.

    Attributes:
        name: Name that the audit trail records.
        hash: SHA-256 of the operator's key, in hexadecimal.
    """

    name: Name
    hash: Hash


class Plans(Model):
    """The list of plans.

    Attributes:
        plans: One entry for each workspace.
        operators: Persons who may change the lists.
    """

    plans: tuple[Plan, ...] = ()
    operators: tuple[Operator, ...] = ()


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
