"""Parts of limits that shards hold, as documents of the store.

A document tells every holding of the workspaces of one bucket.
"""

from collections.abc import Mapping
import dataclasses

import pydantic
import xxhash

from hickoryreach_entry.owner import limit_parts

BUCKETS = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """Parts of one workspace's limit that one shard holds.

    Attributes:
        workspace: The workspace.
        shard: The shard.
        term: Term of the owner that wrote this.
        parts: Parts of each component, of limit_parts.PARTS.
    """

    workspace: str
    shard: int
    term: int
    parts: limit_parts.Parts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """Every holding of the workspaces of one bucket."""

    holdings: tuple[Holding, ...] = ()


document_type = pydantic.TypeAdapter(Document)


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """One document as this owner knows it.

    Attributes:
        index: Index of the document in the store, for compare-and-swap.
        document: The document.
        unsettled: Whether the answer of a write was lost.
    """

    index: int = 0
    document: Document = dataclasses.field(default_factory=Document)
    unsettled: bool = False


def find_bucket(workspace: str) -> int:
    """Returns the number of the document that tells of a workspace."""
    return xxhash.xxh64_intdigest(workspace.encode()) % BUCKETS


def get_key(number: int) -> str:
    """Returns the key of a document."""
    return f"hickoryreach/budgets/{number}"


def replace_holdings(
    document: Document,
    shard: int,
    term: int,
    wanted: Mapping[str, limit_parts.Parts],
) -> Document:
    """Returns a document with one shard's holdings replaced."""
    others = tuple(
        holding
        for holding in document.holdings
        if holding.shard != shard or holding.workspace not in wanted
    )
    mine = tuple(
        Holding(workspace=workspace, shard=shard, term=term, parts=parts)
        for workspace, parts in sorted(wanted.items())
    )
    return Document(holdings=others + mine)
