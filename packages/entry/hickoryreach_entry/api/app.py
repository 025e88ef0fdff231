"""Builds the HTTP application of an entry."""

from collections.abc import Callable

import falcon

from hickoryreach_entry import front
from hickoryreach_entry import lists
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import audit
from hickoryreach_entry.api import documents
from hickoryreach_entry.api import health
from hickoryreach_entry.api import keys
from hickoryreach_entry.api import limits
from hickoryreach_entry.api import listing
from hickoryreach_entry.api import steps
from hickoryreach_entry.api import waves
from hickoryreach_entry.api import work
from hickoryreach_entry.config import settings as entry_settings


def build_app(
    *,
    front_end: front.Front,
    in_force: lists.Lists,
    settings: entry_settings.Settings,
    is_ready: Callable[[], bool],
    list_jobs: listing.ListShard,
) -> falcon.App:
    """Returns the HTTP interface of one entry.

    Args:
        front_end: Submits work and waits for its results.
        in_force: The operators' lists.
        settings: Settings of the entry.
        is_ready: Returns whether the load balancer should route callers here.
        list_jobs: Lists the jobs of one shard, whichever entry owns it.
    """
    app = falcon.App(
        middleware=[limits.CallerLimit(max_callers=settings.max_callers)]
    )
    app.add_error_handler(Exception, answers.handle_unexpected_error)
    app.add_error_handler(falcon.HTTPError, answers.handle_http_error)
    callers = access.Access(in_force=in_force, settings=settings)
    add_caller_routes(app, front_end, callers, settings.shards, list_jobs)
    add_operator_routes(app, callers)
    app.add_route("/health", health.Health())
    app.add_route(
        "/ready",
        health.Ready(
            is_ready=lambda: (
                is_ready() and callers.find_stale_lists_problem() is None
            )
        ),
    )
    app.add_route("/metrics", health.Metrics())
    return app


def add_caller_routes(
    app: falcon.App,
    front_end: front.Front,
    callers: access.Access,
    shards: int,
    list_jobs: listing.ListShard,
) -> None:
    """Adds the routes for callers."""
    common = {"front_end": front_end, "callers": callers, "shards": shards}
    app.add_route("/v1/jobs", work.Jobs(**common, list_shard=list_jobs))
    app.add_route("/v1/jobs/{job_id}", work.Job(**common))
    app.add_route("/v1/waves/{wave}", waves.Wave(**common))
    app.add_route("/v1/steps", steps.Steps(**common))


def add_operator_routes(app: falcon.App, callers: access.Access) -> None:
    """Adds the routes for operators."""
    app.add_route("/v1/lists/{name}", documents.Document(callers=callers))
    app.add_route("/v1/lists/{name}/check", documents.Check(callers=callers))
    app.add_route("/v1/keys", keys.Keys(callers=callers))
    app.add_route("/v1/keys/{workspace}/{key_id}", keys.Key(callers=callers))
    app.add_route("/v1/audit/{name}", audit.Audit(callers=callers))
