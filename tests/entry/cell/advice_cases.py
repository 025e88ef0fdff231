"""Calls for advice, and entries that make them, for tests."""

from gevent import event as gevent_event

from hickoryreach.scheduling import effects
from hickoryreach.wire import frames

INCARNATIONS = {"m0": 1_700_000_000_001}


def build_call(
    job_id: str, cost_ms: float, rank: int = 1, slack_ms: float = 0.0
) -> effects.AskAdvice:
    """Returns a call for the advice of one step."""
    return effects.AskAdvice(
        job_id=job_id,
        repeat=0,
        position=0,
        minion_ids=("m0",),
        cost_ms=cost_ms,
        valid_ms=1_000,
        order=(False, 0, rank, slack_ms),
    )


class FakeEntry:
    """An entry whose calls return once it is released.

    Attributes:
        name: Name of the entry.
        calls: Receives the entry's name and the step of each call.
        released: Set to let calls return.
        failed: Whether its calls fail.
    """

    def __init__(self, name: str, calls: list[tuple[str, str]]) -> None:
        """Creates an entry that records its calls."""
        self.name = name
        self.calls = calls
        self.released = gevent_event.Event()
        self.failed = False

    def call(self, timeout_s: float, advice_call) -> frames.AdviceReport:
        """Makes one call."""
        self.calls.append((self.name, advice_call.step))
        self.released.wait()
        return frames.AdviceReport(failed=self.failed, tickets={}, valid_ms=1)

    def ask(self, advice_call) -> frames.AdviceReport:
        """Makes one call from the owner's own entry."""
        return self.call(0.0, advice_call)
