"""Calls to the advice service from this entry."""

import collections
import logging
import time

from returns import result

from hickoryreach.wire import frames
from hickoryreach_entry.cell import advice_endpoint

log = logging.getLogger(__name__)

TIMEOUT_MARGIN_S = 1.0
MAX_STORED_ANSWERS = 500


class LocalAdvisor:
    """Calls the advice service from this entry, one call at a time.

    Attributes:
        endpoint: Present address of the service, or None without one.
        answers: Latest answers of the service, each with the end of its
            validity on the monotonic clock in s.
    """

    def __init__(self, *, address: str | None) -> None:
        """Creates an advisor without opening a connection."""
        self.endpoint = build_endpoint(address)
        self.answers: collections.deque[tuple[float, frames.PastAdvice]] = (
            collections.deque(maxlen=MAX_STORED_ANSWERS)
        )

    @property
    def address(self) -> str | None:
        """`host:port` of the service, or None without one."""
        return self.endpoint.address if self.endpoint is not None else None

    def change_address(self, address: str | None) -> None:
        """Applies an address; calls under way are made again there."""
        previous = self.endpoint
        if address == self.address:
            return
        log.info(
            "advice_address_changed",
            extra={"earlier": self.address or "", "address": address or ""},
        )
        self.endpoint = build_endpoint(address)
        if previous is not None:
            previous.replace()

    def ask(self, call: frames.AdviceCall) -> frames.AdviceReport:
        """Asks the service which minions may run a step."""
        timeout_s = TIMEOUT_MARGIN_S + round(2 * call.cost_ms / 1000 + 0.5)
        response = None
        while response is None:
            if self.endpoint is None:
                return frames.AdviceReport(failed=True, tickets={})
            response = self.endpoint.fetch_advice(
                call.step, tuple(call.minions), timeout_s
            )
        if isinstance(response, result.Failure):
            log.warning(
                "advice_failed",
                extra={"step": call.step, "reason": response.failure().reason},
            )
            return frames.AdviceReport(failed=True, tickets={})
        found = response.unwrap()
        valid_s = (found.valid_ms or call.valid_ms) / 1000
        past = frames.PastAdvice(
            step=call.step,
            minions=call.minions,
            tickets=found.tickets,
            incarnations=call.incarnations,
        )
        self.answers.append((time.monotonic() + valid_s, past))
        return frames.AdviceReport(
            tickets=found.tickets, valid_ms=found.valid_ms
        )

    def collect_valid_advice(self) -> frames.AdviceNews:
        """Returns the answers that are still valid."""
        now = time.monotonic()
        valid_answers = []
        for valid_until, past in self.answers:
            past.left_ms = int((valid_until - now) * 1000)
            if past.left_ms > 0:
                valid_answers.append(past)
        return frames.AdviceNews(answers=valid_answers)


def build_endpoint(
    address: str | None,
) -> advice_endpoint.AdviceEndpoint | None:
    """Returns the endpoint of an address, or None without one."""
    if address is None:
        return None
    return advice_endpoint.AdviceEndpoint(address=address)
