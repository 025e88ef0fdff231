"""Command line of an entry on the users' platform."""

import os

import cleo.commands.command
import cleo.helpers
from returns import result

from hickoryreach.platform import node
from hickoryreach_entry import logs
from hickoryreach_entry.commands import cell

USAGE_ERROR = 2


class CellCommand(cleo.commands.command.Command):
    """Serves one entry on the users' platform."""

    name = "cell"
    description = "Serve one entry on the users' platform until SIGTERM."
    options = [
        cleo.helpers.option(
            "node-settings",
            description="Path of the platform's settings file; "
            f"{node.PATH_VARIABLE} if not given.",
            flag=False,
        ),
        cleo.helpers.option(
            "log-level",
            description="Least severe level that is logged.",
            flag=False,
            default="INFO",
        ),
    ]

    def handle(self) -> int:
        """Serves the entry and returns the exit status."""
        path = self.option("node-settings") or os.environ.get(
            node.PATH_VARIABLE, ""
        )
        logs.set_up(self.option("log-level"))
        served = cell.serve(path)
        if isinstance(served, result.Failure):
            self.line_error(
                f"--node-settings ({node.PATH_VARIABLE}): {served.failure()}"
            )
            return USAGE_ERROR
        return 0
