"""Settings of the decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Bounds and delays that one shard decides by.

    Attributes:
        ordering: Registered name of the order between workspaces.
        fit: Registered name of the choice of a worker for a task.
        learning: Whether sizes are learned from reported use.
        preempting: Whether urgent work may displace preemptible tasks.
        quarantining: Whether workers that fail all they start are set aside.
        placements_per_event: Most tasks started while reducing one event.
        steps_per_event: Most queue steps taken while reducing one event.
        cancellations_per_event: Most jobs of a wave cancelled in one event.
        timers_per_event: Most due timers handled in one event.
        restores_per_event: Most holds cleared in one event.
        forget_ms: How long a final job is remembered.
        final_jobs_limit: Most final jobs remembered.
        omission_ms: A started task left out of complete lists for this long
            has ended.
        stray_ms: How long an unidentified task waits for its job.
        stop_retry_ms: Ask again for a stop after this long.
        claim_ms: Room kept for an urgent task is given up after this.
        checkpoint_ms: Stop a task that is not checkpointed after this long.
        impossible_ms: End work that fits no worker for this long.
        gang_patience_ms: A gang reserves after waiting this long.
        gang_reserve_ms: First time a gang may reserve while others wait.
        gang_retry_ms: A gang that did not fit is tried again after this.
        retry_limit: Most repeats of a task.
        retry_base_ms: First delay before a repeat.
        retry_cap_ms: Longest delay before a repeat.
        retry_tokens: Most repeats saved up by a workspace's command.
        retry_ratio: Repeats earned by one success.
        strikes: Failures in a row that put a worker into quarantine.
        quarantine_base_ms: First quarantine.
        quarantine_cap_ms: Longest quarantine.
        suspicion_ms: A probed worker that nothing tried is trusted after this.
        request_queue_limit: Most requests waiting in the shard.
        queue_limit: Most other tasks waiting in the shard.
        learn_after: Reports needed before a learned size is used.
        starvation_ms: Room is kept for a size of which nothing could start
            for this long; 0 to keep none.
        workers_per_reservation: Room is kept on one worker in this many.
        reservation_ms: Room kept for a large task is given up after this.
    """

    ordering: str = "weighted_drf"
    fit: str = "best_fit"
    learning: bool = True
    preempting: bool = True
    quarantining: bool = True
    placements_per_event: int = 64
    steps_per_event: int = 256
    cancellations_per_event: int = 200
    timers_per_event: int = 500
    restores_per_event: int = 200
    forget_ms: int = 600_000
    final_jobs_limit: int = 200_000
    omission_ms: int = 5_000
    stray_ms: int = 30_000
    stop_retry_ms: int = 1_000
    claim_ms: int = 2_000
    checkpoint_ms: int = 300
    impossible_ms: int = 60_000
    gang_patience_ms: int = 1_000
    gang_reserve_ms: int = 60_000
    gang_retry_ms: int = 200
    retry_limit: int = 16
    retry_base_ms: int = 100
    retry_cap_ms: int = 30_000
    retry_tokens: float = 50.0
    retry_ratio: float = 0.2
    strikes: int = 3
    quarantine_base_ms: int = 5_000
    quarantine_cap_ms: int = 10_000
    suspicion_ms: int = 30_000
    request_queue_limit: int = 8_192
    queue_limit: int = 1_000_000
    learn_after: int = 3
    starvation_ms: int = 200
    workers_per_reservation: int = 2
    reservation_ms: int = 10_000
