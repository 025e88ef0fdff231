"""One address of the advice service."""

import gevent
from gevent import event as gevent_event
from gevent import lock
from returns import result

from hickoryreach.platform import advice
from hickoryreach.platform import http

AdviceResult = result.Result[advice.Advice, http.CallFailure]


class AdviceEndpoint:
    """Calls the advice service at one address, one call at a time.

    Attributes:
        address: `host:port` of the service.
        replaced: Set once the service has another address.
    """

    def __init__(self, *, address: str) -> None:
        """Creates an endpoint without opening a connection."""
        self.address = address
        self.replaced = gevent_event.Event()
        self.call_lock = lock.BoundedSemaphore(1)
        self.clients: dict[float, advice.AdviceClient] = {}

    def fetch_advice(
        self, step: str, minion_ids: tuple[str, ...], timeout_s: float
    ) -> AdviceResult | None:
        """Fetches which of some minions may run a step.

        Args:
            step: Name of the step.
            minion_ids: The minions.
            timeout_s: Time-out of each network operation within the call.

        Returns:
            The result, or None if the service has another address by now. The
            call may still hang then; it ends unseen.
        """
        with self.call_lock:
            if self.replaced.is_set():
                return None
            client = self._get_client(timeout_s)
            call = gevent.spawn(client.fetch_advice, step, minion_ids)
            gevent.wait([call, self.replaced], count=1)
            return call.get() if call.ready() else None

    def _get_client(self, timeout_s: float) -> advice.AdviceClient:
        client = self.clients.get(timeout_s)
        if client is None:
            client = advice.AdviceClient(
                address=self.address, timeout_s=timeout_s
            )
            self.clients[timeout_s] = client
        return client

    def replace(self) -> None:
        """Ends every call with None, and closes the connections."""
        self.replaced.set()
        for client in self.clients.values():
            client.close()
