"""Greenlets that the process can't do without."""

from collections.abc import Callable
import logging
import os

import gevent

log = logging.getLogger(__name__)

EXIT_STATUS = 70


def spawn_vital(run: Callable, *args: object) -> gevent.Greenlet:
    """Runs a function in a greenlet whose failure ends the process.

    An error that escapes stands for a broken invariant. Ending at once lets
    other entries take over, where going on in part would leave a shard with
    an owner that decides nothing.
    """
    return make_vital(gevent.spawn(run, *args))


def make_vital(greenlet: gevent.Greenlet) -> gevent.Greenlet:
    """Makes the failure of a greenlet end the process; returns the greenlet."""
    greenlet.link_exception(end_process)
    return greenlet


def end_process(greenlet: gevent.Greenlet) -> None:
    """Ends the process without cleaning up."""
    log.critical(
        "invariant_broken",
        exc_info=greenlet.exc_info,
        extra={"greenlet": greenlet.name},
    )
    logging.shutdown()
    os._exit(EXIT_STATUS)
