"""Measures what one change of the list of plans costs at a given size.

It grants keys one by one through the store stand-in, as operators would, and
lets one follower apply each change.
"""

import argparse
import collections
import statistics
import tempfile
import time

from hickoryreach.lists import allowances
from hickoryreach.lists import documents
from hickoryreach.lists import editor
from hickoryreach.lists import edits
from hickoryreach.lists import heads
from hickoryreach.lists import key_edits
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from hickoryreach.trial import store
from hickoryreach_entry import lists
from standins import cell
from standins import samples

BASE64_RATIO = 4 / 3
KEYS_PER_WORKSPACE = 2
CHANGES_A_DAY = 27_000
SECONDS_A_DAY = 86_400
FAMILIES = {
    heads.HEAD_PREFIX: "head",
    heads.SNAPSHOT_PREFIX: "snapshot",
    heads.SEGMENT_PREFIX: "segment",
}


class CountingStore(store.Store):
    """Counts the writes and their bytes by kind of value.

    Attributes:
        counts: Number of writes.
        sizes: Bytes written.
    """

    def __init__(self, *, url: str) -> None:
        """Creates a client that has written nothing."""
        super().__init__(url=url)
        self.counts: collections.Counter = collections.Counter()
        self.sizes: collections.Counter = collections.Counter()

    def put_if(self, key: str, data: bytes, **fields) -> store.Write:
        """Counts a write, and makes it."""
        family = next(
            name for prefix, name in FAMILIES.items() if key.startswith(prefix)
        )
        self.counts[family] += 1
        self.sizes[family] += len(data)
        return super().put_if(key, data, **fields)


def build_key(workspace: str, number: int) -> plans.Key:
    """Returns a key whose hash is of the usual length."""
    key_id = f"{workspace}-{number}"
    return plans.Key(key_id=key_id, hash=plans.hash_key(key_id))


def build_plans(workspaces: int) -> plans.Plans:
    """Returns a list of plans of a size."""
    names = [f"workspace-{number}" for number in range(workspaces)]
    return plans.Plans(
        plans=tuple(
            plans.Plan(
                workspace=name,
                plan="small",
                keys=tuple(
                    build_key(name, n) for n in range(KEYS_PER_WORKSPACE)
                ),
            )
            for name in names
        ),
        operators=samples.build_plans().operators,
    )


def build_allowances() -> allowances.Allowances:
    """Returns the sample allowances without an open queue."""
    return samples.build_allowances().model_copy(
        update={"queues": (allowances.Queue(name="default"),)}
    )


def put_list(client: store.Store, name: str, document: plans.Model) -> None:
    """Writes a list at its first revision, rolled into a snapshot."""
    head = samples.build_head(document)
    storage.write_snapshot_and_segment(
        client, name, head, documents.flatten(document)
    ).unwrap()
    client.put_if(
        heads.get_head_key(name), heads.pack(heads.compact_head(head)), index=0
    ).unwrap()


def grant(client: store.Store, number: int, workspaces: int) -> None:
    """Grants one more key."""
    workspace = f"workspace-{number % workspaces}"
    edit = edits.Edit(
        name="plans",
        actor="operator-1",
        action="grant",
        revision=None,
        build=key_edits.grant_key(
            workspace, build_key(workspace, 100 + number)
        ),
    )
    editor.apply_edit(client, edit).unwrap()


def main() -> None:
    """Prints the costs of one change."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--workspaces", type=int, default=640)
    parser.add_argument("--changes", type=int, default=200)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(
            deployment=cell.Deployment(
                name="lists", service="", workers=0, entries=0
            ),
            log_folder=folder,
        )
        try:
            whole.start()
            measure(whole.store.url, options.workspaces, options.changes)
        finally:
            whole.stop()


def measure(url: str, workspaces: int, changes: int) -> None:
    """Makes the changes, and prints what they cost."""
    client = CountingStore(url=url)
    put_list(client, "allowances", build_allowances())
    put_list(client, "plans", build_plans(workspaces))
    snapshot_bytes = len(heads.pack(documents.flatten(build_plans(workspaces))))
    follower = lists.Lists(client=store.Store(url=url))
    client.counts.clear()
    client.sizes.clear()
    edit_ms, apply_ms, head_bytes = [], [], []
    for number in range(changes):
        started = time.perf_counter()
        grant(client, number, workspaces)
        edited = time.perf_counter()
        found = follower.client.watch(
            heads.HEAD_PREFIX, index=0, wait_s=1.0, recurse=True
        ).unwrap()
        read = time.perf_counter()
        follower.take_snapshot(found)
        apply_ms.append((time.perf_counter() - read) * 1000)
        edit_ms.append((edited - started) * 1000)
        head_bytes.append(sum(len(value.data) for value in found.values))
    read_bytes = statistics.mean(head_bytes) * BASE64_RATIO
    written = sum(client.sizes.values()) / changes
    polls_per_s = 1 / lists.WATCH_WAIT_S
    reads_per_s = CHANGES_A_DAY / SECONDS_A_DAY + polls_per_s
    print(f"workspaces                          {workspaces}")
    print(f"changes made                        {changes}")
    print(f"document                            {snapshot_bytes} bytes")
    print(f"writes for each change              {count(client, changes):.2f}")
    print(f"bytes written for each change       {written:.0f}")
    print(f"bytes of both heads, as read        {read_bytes:.0f}")
    print(f"bytes/s read by one entry           {read_bytes * reads_per_s:.0f}")
    print(f"ms for a change, its operator       {median(edit_ms):.1f}")
    print(f"ms to apply a change, each entry    {median(apply_ms):.1f}")


def count(client: CountingStore, changes: int) -> float:
    """Returns the writes that one change takes."""
    return sum(client.counts.values()) / changes


def median(values: list[float]) -> float:
    """Returns the median."""
    return statistics.median(values)


if __name__ == "__main__":
    main()
