"""Work that becomes due at a later time."""

from collections.abc import Callable
from collections.abc import Iterator
import heapq
from typing import Any

from hickoryreach.decisions import effects
from hickoryreach.decisions import registry
from hickoryreach.decisions import state

Handler = Callable[[state.ShardState, Any], Iterator[effects.Effect]]

handlers: registry.Registry[str, Handler] = registry.Registry(title="timers")


def schedule(
    shard: state.ShardState, due_ms: int, kind: str, subject: Any
) -> None:
    """Has the handler of `kind` called with `subject` at `due_ms`."""
    shard.sequence += 1
    heapq.heappush(shard.timers, (due_ms, shard.sequence, kind, subject))


def run_due(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Calls the handlers that are due, a bounded number of them."""
    for _ in range(shard.settings.timers_per_event):
        if not shard.timers or shard.timers[0][0] > shard.now_ms:
            return
        _, _, kind, subject = heapq.heappop(shard.timers)
        yield from handlers.find(kind)(shard, subject)
