"""Resources for health checks and metrics."""

from collections.abc import Callable

import falcon
import prometheus_client


class Health:
    """Liveness check."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with 200."""
        resp.media = {"status": "ok"}


class Ready:
    """Readiness check for the load balancer."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Stores the check."""
        self.is_ready = is_ready

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with 200, or with 503 while not ready or draining."""
        ready = self.is_ready()
        resp.status = 200 if ready else 503
        resp.media = {"ready": ready}


class Metrics:
    """The metrics of this process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds in the Prometheus text format."""
        resp.content_type = prometheus_client.CONTENT_TYPE_LATEST
        resp.data = prometheus_client.generate_latest()
