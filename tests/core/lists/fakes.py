"""In-memory store with injected faults, and builders of sample lists."""

from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import allowances
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.trial import store

OPERATOR = plans.Operator(name="ops", hash=plans.hash_key("ops-key"))


class FakeStore:
    """In-memory replacement of `store.Store`.

    Attributes:
        values: Data and index by key.
        down: Whether all calls fail without effect.
        lost_responses: Number of following writes that take effect although
            their response is lost.
        before_write: Called once before the next write, to cause a race.
        writes: Keys that were written, in order.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.values: dict[str, tuple[bytes, int]] = {}
        self.index = 0
        self.down = False
        self.lost_responses = 0
        self.before_write = None
        self.writes: list[str] = []

    def get(self, key: str) -> store.Read:
        """Reads one key."""
        if self.down:
            return self.fail()
        return result.Success(self.snapshot([key]))

    def watch(self, key: str, **_) -> store.Read:
        """Reads all keys with a prefix, without waiting for a change."""
        if self.down:
            return self.fail()
        return result.Success(
            self.snapshot([k for k in sorted(self.values) if k.startswith(key)])
        )

    def snapshot(self, keys: list[str]) -> store.Snapshot:
        """Returns the values of those keys that exist."""
        return store.Snapshot(
            values=tuple(
                store.Value(
                    key=key, data=self.values[key][0], index=self.values[key][1]
                )
                for key in keys
                if key in self.values
            ),
            index=self.index,
        )

    def put_if(self, key: str, data: bytes, *, index: int) -> store.Write:
        """Writes a key if its index is unchanged."""
        hook, self.before_write = self.before_write, None
        if hook:
            hook()
        if self.down:
            return self.fail()
        if self.values.get(key, (b"", 0))[1] != index:
            return result.Failure(exceptions.Conflict(key=key))
        self.index += 1
        self.values[key] = (data, self.index)
        self.writes.append(key)
        if self.lost_responses:
            self.lost_responses -= 1
            return self.fail()
        return result.Success(self.index)

    def delete(self, keys: list[str]) -> store.Write:
        """Deletes keys."""
        for key in keys:
            self.values.pop(key, None)
        return result.Success(0)

    def fail(self):
        """Returns the failure of a call whose response was lost."""
        return result.Failure(
            exceptions.StoreFailure(reason="lost", effect_unknown=True)
        )


def build_plans(*workspaces: str) -> plans.Plans:
    """Returns a list of plans with one key for each workspace."""
    return plans.Plans(
        plans=tuple(
            plans.Plan(workspace=name, plan="basic", keys=(build_key(name),))
            for name in workspaces
        ),
        operators=(OPERATOR,),
    )


def build_key(workspace: str, number: int = 1) -> plans.Key:
    """Returns a key of a workspace, by its number."""
    return plans.Key(
        key_id=f"{workspace}-{number}",
        hash=plans.hash_key(f"{workspace}-key-{number}"),
    )


def build_allowances(**fields) -> allowances.Allowances:
    """Returns a list of allowances with one plan."""
    return allowances.Allowances(
        allowances=(allowances.Allowance(plan="basic"),), **fields
    )


def put_list(client: FakeStore, name: str, document: plans.Model) -> None:
    """Writes a list to a store at revision 1."""
    change = heads.Change(
        revision=1,
        at_ms=0,
        actor="ops",
        action="set",
        token=f"{name}-1",
        put=documents.flatten(document),
    )
    client.put_if(
        heads.get_head_key(name),
        heads.pack(heads.append_change(heads.Head(), change)),
        index=0,
    )


def build_store(*workspaces: str) -> FakeStore:
    """Returns a store with both lists at revision 1."""
    client = FakeStore()
    put_list(client, "allowances", build_allowances())
    put_list(client, "plans", build_plans(*workspaces))
    return client
