"""Budgets: the part of each workspace's upper limit that a shard may use.

With one shard a limit is the shard's own. With several, each limit is divided
into parts that shards hold. The parts stand in a few documents of the store,
and the sum of a workspace's parts never exceeds the whole, since they move by
compare-and-swap only: a shard gives parts back before another can take them.
Parts are of the limit in force, so a lowered limit lowers every shard's amount
at once without a write.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import time

import orjson
from returns import result

from hickoryreach import exceptions
from hickoryreach.structure import resources
from hickoryreach.structure import workspaces
from hickoryreach.trial import store
from hickoryreach_entry.owner import holdings
from hickoryreach_entry.owner import limit_parts

IDLE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a shard uses of a workspace's limit, and would use.

    Attributes:
        used: What runs, or may run, or is reserved.
        needed: What the next work that waits needs at least; zero when
            none waits.
    """

    used: resources.Resources
    needed: resources.Resources = resources.ZERO


class Budgets:
    """Holdings of one shard, as its owner may spend them.

    Attributes:
        held: Parts that may be spent, by workspace.
        buckets: Documents by number.
        lost: Whether a later owner of the shard has written.
    """

    def __init__(self, *, client: store.Store, shard: int, shards: int) -> None:
        """Creates budgets that hold nothing yet."""
        self.client = client
        self.shard = shard
        self.shards = shards
        self.term = 0
        self.held: dict[str, limit_parts.Parts] = {}
        self.buckets: dict[int, holdings.Bucket] = {}
        self.idle_since: dict[str, float] = {}
        self.lost = False

    def limit(
        self, entitlements: Iterable[workspaces.Entitlement]
    ) -> tuple[workspaces.Entitlement, ...]:
        """Returns entitlements whose limits this shard may use."""
        if self.shards == 1:
            return tuple(entitlements)
        return tuple(
            each
            if each.limit is None
            else dataclasses.replace(
                each,
                limit=limit_parts.take_part(
                    each.limit,
                    self.held.get(each.workspace, limit_parts.NO_PARTS),
                ),
                fleet_limit=each.limit,
            )
            for each in entitlements
        )

    def balance(
        self,
        entitlements: Iterable[workspaces.Entitlement],
        get_demands: Callable[[], Mapping[str, Demand]],
        on_lowered: Callable[[], None],
        writes: int,
    ) -> bool:
        """Takes parts that are needed and gives back idle ones.

        Args:
            entitlements: Every workspace, with limits of the whole fleet.
            get_demands: Returns what each workspace uses and needs here now.
            on_lowered: Puts lowered amounts in force before it returns.
            writes: Most documents to write.

        Returns:
            Whether some amount was raised.
        """
        before = dict(self.held)
        limited: dict[int, dict[str, resources.Resources]] = {}
        for each in entitlements:
            if each.limit is not None:
                number = holdings.find_bucket(each.workspace)
                limited.setdefault(number, {})[each.workspace] = each.limit
        for number, limits in limited.items():
            if writes <= 0 or self.lost:
                break
            writes -= self.balance_bucket(
                number, limits, get_demands, on_lowered
            )
        return before != self.held

    def balance_bucket(
        self,
        number: int,
        limits: Mapping[str, resources.Resources],
        get_demands: Callable[[], Mapping[str, Demand]],
        on_lowered: Callable[[], None],
    ) -> bool:
        """Balances one bucket; returns whether it had to be written."""
        known = self.buckets.get(number)
        if known is not None and not known.unsettled:
            demands = get_demands()
            wanted = self.plan(known, limits, demands)
            short = self.list_short(limits, demands, wanted)
            if not short and self.is_held(known, wanted):
                return False
            if short:
                del self.buckets[number]
        bucket = self.read_bucket(number)
        if bucket is None or self.lost:
            return False
        wanted = self.plan(bucket, limits, get_demands())
        if self.is_held(bucket, wanted):
            return False
        self.write_bucket(number, bucket, wanted, on_lowered)
        return True

    def is_held(
        self, bucket: holdings.Bucket, wanted: Mapping[str, limit_parts.Parts]
    ) -> bool:
        """Returns whether nothing needs to be written."""
        if bucket.unsettled:
            return False
        written = {
            holding.workspace: holding.parts
            for holding in bucket.document.holdings
            if holding.shard == self.shard and holding.term == self.term
        }
        return all(
            self.held.get(workspace) == written.get(workspace) == parts
            for workspace, parts in wanted.items()
        )

    def list_short(
        self,
        limits: Mapping[str, resources.Resources],
        demands: Mapping[str, Demand],
        wanted: Mapping[str, limit_parts.Parts],
    ) -> list[str]:
        """Returns the workspaces whose next work does not fit what is free."""
        return [
            workspace
            for workspace, parts in wanted.items()
            if workspace in demands
            and demands[workspace].needed != resources.ZERO
            and not limit_parts.covers(
                parts,
                demands[workspace].used + demands[workspace].needed,
                limits[workspace],
            )
        ]

    def write_bucket(
        self,
        number: int,
        bucket: holdings.Bucket,
        wanted: Mapping[str, limit_parts.Parts],
        on_lowered: Callable[[], None],
    ) -> None:
        """Writes this shard's holdings of one bucket.

        What is given back is not spent from before the write on, whatever
        becomes of it.
        """
        before = dict(self.held)
        for workspace, parts in wanted.items():
            held = self.held.get(workspace, limit_parts.NO_PARTS)
            self.held[workspace] = limit_parts.lower(held, parts)
        if before != self.held:
            on_lowered()
        document = holdings.replace_holdings(
            bucket.document, self.shard, self.term, wanted
        )
        written = self.client.put_if(
            holdings.get_key(number), orjson.dumps(document), index=bucket.index
        )
        if isinstance(written, result.Success):
            bucket.index = written.unwrap()
            bucket.document = document
            bucket.unsettled = False
            self.held.update(wanted)
        elif isinstance(written.failure(), exceptions.Conflict):
            self.buckets.pop(number, None)
        else:
            bucket.unsettled = True

    def read_bucket(self, number: int) -> holdings.Bucket | None:
        """Returns a bucket as it stands; None when the store is down.

        A bucket that is known and settled is not read again: a write by
        another shard shows as a conflict.
        """
        known = self.buckets.get(number)
        if known is not None and not known.unsettled:
            return known
        read = self.client.get(holdings.get_key(number))
        if isinstance(read, result.Failure):
            return None
        values = read.unwrap().values
        bucket = holdings.Bucket()
        if values:
            bucket.index = values[0].index
            bucket.document = holdings.document_type.validate_json(
                values[0].data
            )
        self.take_document(bucket.document)
        self.buckets[number] = bucket
        return bucket

    def take_document(self, document: holdings.Document) -> None:
        """Takes in what was read: a lost answer, or a later owner."""
        for holding in document.holdings:
            if holding.shard != self.shard:
                continue
            if holding.term > self.term:
                self.lost = True
                return
            if holding.term == self.term:
                self.held[holding.workspace] = limit_parts.lower(
                    self.held.get(holding.workspace, holding.parts),
                    holding.parts,
                )

    def plan(
        self,
        bucket: holdings.Bucket,
        limits: Mapping[str, resources.Resources],
        demands: Mapping[str, Demand],
    ) -> dict[str, limit_parts.Parts]:
        """Returns the parts this shard should hold of each workspace."""
        taken: dict[str, limit_parts.Parts] = {}
        mine: dict[str, holdings.Holding] = {}
        for holding in bucket.document.holdings:
            if holding.shard == self.shard:
                mine[holding.workspace] = holding
            else:
                others = taken.get(holding.workspace, limit_parts.NO_PARTS)
                taken[holding.workspace] = limit_parts.add(
                    others, holding.parts
                )
        wanted = {}
        for workspace, limit in limits.items():
            known = mine.get(workspace)
            parts = known.parts if known else limit_parts.NO_PARTS
            demand = demands.get(workspace, Demand(used=resources.ZERO))
            free = limit_parts.subtract(
                limit_parts.ALL_PARTS,
                limit_parts.add(
                    taken.get(workspace, limit_parts.NO_PARTS), parts
                ),
            )
            wanted[workspace] = self.choose(
                workspace, limit, demand, parts, free
            )
        return wanted

    def choose(
        self,
        workspace: str,
        limit: resources.Resources,
        demand: Demand,
        parts: limit_parts.Parts,
        free: limit_parts.Parts,
    ) -> limit_parts.Parts:
        """Returns the parts to hold of one workspace.

        While work waits, half of what is free is taken, or as much as the
        next work needs. If that is more than is free, all that is not used
        goes back, so that shards can't each keep too little for one task.
        Without waiting work, all but a quarter above what is used goes back
        after IDLE_S.
        """
        used = limit_parts.count_parts(demand.used, limit)
        if demand.needed != resources.ZERO:
            self.idle_since.pop(workspace, None)
            needed = limit_parts.count_parts(demand.used + demand.needed, limit)
            if limit_parts.lower(parts, needed) == needed:
                return parts
            within_reach = limit_parts.add(parts, free)
            if limit_parts.lower(within_reach, needed) != needed:
                return limit_parts.lower(parts, used)
            return tuple(
                have + min(left, max(left // 2, need - have))
                if need > have
                else have
                for have, left, need in zip(parts, free, needed, strict=True)
            )
        now = time.monotonic()
        since = self.idle_since.setdefault(workspace, now)
        if now - since < IDLE_S:
            return parts
        return tuple(
            min(have, use + use // 4)
            for have, use in zip(parts, used, strict=True)
        )
