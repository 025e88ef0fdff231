"""Figures that the decisions depend on."""

import dataclasses

from hickoryreach.platform import advice


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Figures of one deployment.

    Attributes:
        start_ms: How long a start that is under way may still be carried out.
        drift: Part by which a minion's clock may be slow.
        offer_ms: Time after which an offered job that is not kept is dropped.
        return_ms: How long nothing is placed on a minion that answers again;
            longer than the time after which followers know that it does.
        repeat_stop_ms: Time after which an unconfirmed stop is sent again.
        ticket_margin_ms: Validity that a ticket must have left at a start.
        waiting_limit: Steps considered in one pass over what waits.
        claims_limit: Gangs that may keep room for themselves at once.
        claims_part: Part of the cell that gangs may keep for themselves.
        late_keeps: Late gangs that may keep room while they ask for tickets.
        urgent_part: Part of the cell that only the first rank may fill.
        advice_limit: Most minions named in one call for advice.
        blame_ms: How long a minion that fails its tasks is avoided.
        blame_failures: Failures in a row of different jobs that count as the
            minion's own.
        slow_part: Part of the usual speed below which a minion is slow.
        slow_ms: How long a slow minion is avoided before it is tried again.
        stall_ms: Least time without progress after which a task is moved.
        stall_part: Part of a task's estimate that it may stand still.
    """

    start_ms: int = 2_000
    drift: float = 0.02
    offer_ms: int = 5_000
    return_ms: int = 400
    repeat_stop_ms: int = 400
    ticket_margin_ms: int = 150
    waiting_limit: int = 60
    claims_limit: int = 3
    claims_part: float = 0.5
    late_keeps: int = 8
    urgent_part: float = 0.04
    advice_limit: int = advice.MAX_MINIONS_PER_CALL
    blame_ms: int = 4_000
    blame_failures: int = 2
    slow_part: float = 0.45
    slow_ms: int = 2_500
    stall_ms: int = 1_500
    stall_part: float = 0.5
