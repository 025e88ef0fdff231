"""The HTTP interface as one application."""

from collections.abc import Callable

import falcon

from hickoryreach_entry import front
from hickoryreach_entry import lists
from hickoryreach_entry.api import health
from hickoryreach_entry.api import work
from hickoryreach_entry.config import settings as entry_settings


def build_app(
    *,
    door: front.Front,
    in_force: lists.Lists,
    settings: entry_settings.Settings,
    is_ready: Callable[[], bool],
) -> falcon.App:
    """Returns the HTTP interface of one entry."""
    app = falcon.App()
    app.add_route(
        "/v1/jobs",
        work.Jobs(door=door, in_force=in_force, shards=settings.shards),
    )
    app.add_route("/v1/jobs/{job_id}", work.Job(door=door, in_force=in_force))
    app.add_route("/health", health.Health())
    app.add_route("/ready", health.Ready(is_ready=is_ready))
    app.add_route("/metrics", health.Metrics())
    return app
