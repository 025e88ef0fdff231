"""Parameters of the scheduler."""

import dataclasses

from hickoryreach.platform import advice


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Parameters of the scheduler.

    Attributes:
        start_valid_ms: Time within which a minion may begin a run after the
            decision to start it; shorter than the time in which a configuration
            must be in force, as its limits may fall meanwhile.
        clock_drift: Fraction by which a minion's clock may be slow.
        offer_timeout_ms: Time after which an offered job that is not stored is
            dropped.
        return_quarantine_ms: Time during which no task is placed on a minion
            that answers again; longer than followers need to learn of it.
        stop_grace_ms: Longest time that a minion takes to stop a run.
        evacuation_margin_ms: Further time before a minion leaves at which its
            runs are stopped; covers the age of its registration and the order.
        stop_retry_ms: Time after which an unconfirmed stop is sent again.
        ticket_margin_ms: Validity that a ticket must have left at a start.
        steps_per_pass: Most steps considered in one placement pass, besides
            those that the next two settings allow.
        blocked_steps_per_pass: Most steps, of those that their workspace's
            limit blocks, for which a pass makes headroom.
        overdue_steps_per_pass: Most steps considered at the end of a pass
            because no pass has considered them for long.
        reservations_limit: Most gangs that may reserve occupied capacity.
        reserved_fraction: Fraction of the cell's processor capacity that may be
            reserved for gangs.
        late_reservations_limit: Most late gangs that may reserve capacity while
            they request tickets.
        urgent_fraction: Fraction of a service's processor capacity that only
            tasks of the first rank and lasting tasks may occupy.
        named_minions_limit: Most minions named in one call for advice.
        quarantine_ms: Quarantine of a minion after repeated failures.
        quarantine_failures: Number of different jobs that must fail in a row on
            a minion for its quarantine.
        slow_fraction: Fraction of the median speed below which a minion is
            slow.
        slow_quarantine_ms: Quarantine of a slow minion, or of one on which a
            run stalled.
        stall_ms: Shortest time without progress after which a run is stalled.
        stall_fraction: Time without progress after which a run is stalled, as a
            fraction of its estimate; the longer of both times applies.
    """

    start_valid_ms: int = 1_500
    clock_drift: float = 0.02
    offer_timeout_ms: int = 5_000
    return_quarantine_ms: int = 400
    stop_grace_ms: int = 900
    evacuation_margin_ms: int = 500
    stop_retry_ms: int = 400
    ticket_margin_ms: int = 150
    steps_per_pass: int = 60
    blocked_steps_per_pass: int = 20
    overdue_steps_per_pass: int = 10
    reservations_limit: int = 3
    reserved_fraction: float = 0.5
    late_reservations_limit: int = 8
    urgent_fraction: float = 0.04
    named_minions_limit: int = advice.MAX_MINIONS_PER_CALL
    quarantine_ms: int = 4_000
    quarantine_failures: int = 2
    slow_fraction: float = 0.45
    slow_quarantine_ms: int = 2_500
    stall_ms: int = 1_500
    stall_fraction: float = 0.5
