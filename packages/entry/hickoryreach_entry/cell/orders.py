"""Orders to one minion: start a run, stop it, set its share of speed."""

import dataclasses
import logging

from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach_entry import clock
from hickoryreach_entry.cell import metrics

log = logging.getLogger(__name__)

START_ATTEMPTS = 3


class OrderSender:
    """Sends orders to one minion and emits events for the responses.

    Attributes:
        link: Link to the minion, which holds its lease and clock.
    """

    def __init__(self, *, link) -> None:
        """Creates the sender of one link."""
        self.link = link

    def start(self, effect: effects.StartTask) -> None:
        """Sends a start order and emits the result.

        The order is not sent if the ownership was confirmed too long ago, as
        after a pause of this process between the decision and the call.
        """
        terms = self.link.get_terms()
        if not terms.lease_ms:
            failure = minions.OrderFailure(reason="ownership_unconfirmed")
        elif effect.contact_first and not self.contact(effect):
            failure = minions.OrderFailure(reason="not_contacted")
        else:
            failure = self.send_start(effect, terms.token)
        outcome = "confirmed"
        if failure is not None:
            outcome = describe_failure(failure)
        metrics.task_starts.labels(outcome).inc()
        log.info(
            "task_start",
            extra={
                "task": minions.format_task(effect.key),
                "run": effect.number,
                "minion": self.link.minion.minion_id,
                "outcome": outcome,
                "detail": effect.detail,
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

    def contact(self, effect: effects.StartTask) -> bool:
        """Polls the minion right before a start; returns whether it is there.

        Without an answer to that start it is then certain enough that the
        minion crashed under it, and had not crashed before. Another incarnation
        than the start was decided for does not count.
        """
        poll_result, sent_ms = self.link.poll(immediate=True)
        if isinstance(poll_result, result.Failure) or self.link.stopped:
            return False
        self.link.handle_poll_reply(poll_result.unwrap(), sent_ms)
        if self.link.may_have_restarted(effect.incarnation):
            return False
        self.link.emit(
            events.StartContacted(
                key=effect.key,
                number=effect.number,
                minion_id=self.link.minion.minion_id,
            )
        )
        return True

    def send_start(
        self, effect: effects.StartTask, token: int
    ) -> minions.OrderFailure | None:
        """Sends a start order, again if there is no response.

        The owner gives an unanswered start up by the time of its decision, so
        that the order must not be valid for longer, however late it is sent.
        Retries are safe because a minion accepts the same run only once.
        After an attempt without a response, a refusal of the next one does
        not prove that the run cannot begin, so its effect stays unknown.
        Nothing is sent to a silent minion, nor to another incarnation than it
        was decided for, which may be of another kind under the same id.

        Returns:
            The failure, or None if the start was confirmed.
        """
        left_ms = effect.valid_until_ms - clock.now_ms()
        if left_ms <= 0:
            return minions.OrderFailure(reason="start_expired")
        deadline_ms = self.link.lease.extend(left_ms)
        order = minions.StartOrder(
            key=effect.key,
            run=effect.number,
            payload=effect.payload,
            incarnation=self.link.incarnation,
            deadline_ms=deadline_ms,
            token=token,
            checkpoint=effect.checkpoint,
            ticket=effect.ticket,
        )
        unclear = False
        for _ in range(START_ATTEMPTS):
            failure = self.try_start(effect, order)
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

    def may_send(self, effect: effects.StartTask) -> bool:
        """Returns whether a start may be sent now.

        It may have waited for a connection while the minion fell silent or
        restarted.
        """
        return (
            not self.link.silent
            and clock.now_ms() < effect.valid_until_ms
            and not self.link.may_have_restarted(effect.incarnation)
        )

    def try_start(
        self, effect: effects.StartTask, order: minions.StartOrder
    ) -> minions.OrderFailure | None:
        """Sends a start order once; returns the failure, or None.

        A clock that is behind what the minion has told before has started
        anew, and the minion with it; what it has become is asked at once.
        """
        known_ms = self.link.lease.clock_ms
        order_result = self.link.client.start(
            order, lambda: self.may_send(effect)
        )
        if isinstance(order_result, result.Failure):
            return self.extract_failure(order_result)
        clock_ms = order_result.unwrap()
        if clock_ms < known_ms:
            log.warning(
                "start_met_restart",
                extra={
                    "task": minions.format_task(order.key),
                    "run": order.run,
                    "minion": self.link.minion.minion_id,
                    "incarnation": self.link.incarnation,
                    "clock_ms": clock_ms,
                    "known_ms": known_ms,
                },
            )
            self.link.poll_now()
        return None

    def stop(self, effect: effects.StopTask) -> None:
        """Sends a stop order and emits whether it was confirmed."""
        order_result = self.link.client.stop(
            effect.key, effect.number, self.link.get_terms().token
        )
        failure = self.extract_failure(order_result)
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
        """Sets the share of its speed that a run may use.

        Emits that the minion has answered, as no poll shows it.
        """
        order_result = self.link.client.pace(
            effect.key, effect.number, effect.share, self.link.get_terms().token
        )
        failure = self.extract_failure(order_result)
        log.info(
            "task_pace",
            extra={
                "task": minions.format_task(effect.key),
                "minion": self.link.minion.minion_id,
                "share": effect.share,
                "outcome": failure.reason if failure else "confirmed",
            },
        )
        if failure is None or not failure.effect_unknown:
            self.link.emit(
                events.ShareAnswered(
                    key=effect.key,
                    number=effect.number,
                    minion_id=self.link.minion.minion_id,
                    share=effect.share,
                )
            )

    def extract_failure(
        self, order_result: minions.OrderResult
    ) -> minions.OrderFailure | None:
        """Returns why an order was not confirmed, or None.

        Reports a fenced order to the owner.
        """
        if isinstance(order_result, result.Success):
            return None
        failure = order_result.failure()
        if failure.refusal is minions.Refusal.FENCED:
            self.link.on_fenced(self.link.minion.minion_id)
        return failure


def describe_failure(failure: minions.OrderFailure) -> str:
    """Returns the outcome of an order that was not confirmed, for logs."""
    if failure.refusal is not None:
        return str(failure.refusal)
    return "unclear" if failure.effect_unknown else "not_sent"
