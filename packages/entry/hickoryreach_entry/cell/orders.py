"""Orders to one minion: starts, stops and paces."""

import dataclasses
import logging

from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach_entry.cell import metrics

log = logging.getLogger(__name__)

START_TRIES = 3


class OrderSender:
    """Sends orders and hands on their answers.

    Attributes:
        link: The link to the minion, with its lease and its clock.
    """

    def __init__(self, *, link) -> None:
        """Creates orders of a link."""
        self.link = link

    def start(self, effect: effects.StartTask) -> None:
        """Sends a start and hands on its answer."""
        deadline_ms = self.link.estimate_clock() + effect.valid_ms
        self.link.deadline_ms = max(self.link.deadline_ms, deadline_ms)
        failure = self.try_start(
            minions.StartOrder(
                key=effect.key,
                run=effect.number,
                payload=effect.payload,
                deadline_ms=deadline_ms,
                token=self.link.get_terms().token,
                checkpoint=effect.checkpoint,
                ticket=effect.ticket,
            )
        )
        outcome = "confirmed"
        if failure is not None:
            outcome = str(failure.refusal or "unclear")
        metrics.task_starts.labels(outcome).inc()
        log.info(
            "task_start",
            extra={
                "task": minions.format_task(effect.key),
                "run": effect.number,
                "minion": self.link.minion.minion_id,
                "outcome": outcome,
            },
        )
        self.link.emit(
            events.StartAnswered(
                key=effect.key,
                number=effect.number,
                minion_id=self.link.minion.minion_id,
                failure=failure,
            )
        )

    def try_start(
        self, order: minions.StartOrder
    ) -> minions.OrderFailure | None:
        """Sends a start until it is answered; returns why it failed.

        A minion takes the same run once. After a try without an answer, a
        refusal of the next one does not tell that the run can't begin.
        """
        unclear = False
        for _ in range(START_TRIES):
            failure = self.get_failure(self.link.client.start(order))
            if failure is None or failure.refusal is minions.Refusal.STALE_RUN:
                return failure
            if not failure.effect_unknown:
                break
            unclear = True
        if unclear:
            return dataclasses.replace(
                failure, refusal=None, effect_unknown=True
            )
        return failure

    def stop(self, effect: effects.StopTask) -> None:
        """Sends a stop and hands on its answer."""
        ordered = self.link.client.stop(
            effect.key, effect.number, self.link.get_terms().token
        )
        failure = self.get_failure(ordered)
        log.info(
            "task_stop",
            extra={
                "task": minions.format_task(effect.key),
                "run": effect.number,
                "minion": self.link.minion.minion_id,
                "cause": effect.reason,
                "outcome": failure.reason if failure else "confirmed",
            },
        )
        self.link.emit(
            events.StopAnswered(
                key=effect.key,
                number=effect.number,
                minion_id=self.link.minion.minion_id,
                confirmed=failure is None,
            )
        )

    def pace(self, effect: effects.SetTaskShare) -> None:
        """Sends a share to work at; the next look tells whether it helps."""
        ordered = self.link.client.pace(
            effect.key, effect.number, effect.share, self.link.get_terms().token
        )
        failure = self.get_failure(ordered)
        log.info(
            "task_pace",
            extra={
                "task": minions.format_task(effect.key),
                "minion": self.link.minion.minion_id,
                "share": effect.share,
                "outcome": failure.reason if failure else "confirmed",
            },
        )

    def get_failure(
        self, ordered: minions.OrderResult
    ) -> minions.OrderFailure | None:
        """Returns why an order was not confirmed; reports a fence."""
        if isinstance(ordered, result.Success):
            return None
        failure = ordered.failure()
        if failure.refusal is minions.Refusal.FENCED:
            self.link.on_fenced(self.link.minion.minion_id)
        return failure
