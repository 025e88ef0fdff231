"""Starts a cell of processes for a test."""

from collections.abc import Callable
import tempfile

from standins import cell
from standins import samples


def start_cell(
    deployment: cell.Deployment, add_cleanup: Callable, **options: object
) -> cell.Cell:
    """Returns a cell that is ready, with the sample lists in force.

    Args:
        deployment: Its size.
        add_cleanup: Takes what is to be called once the test has ended.
        **options: Further arguments of the cell.
    """
    folder = tempfile.TemporaryDirectory()
    add_cleanup(folder.cleanup)
    whole = cell.Cell(deployment=deployment, log_folder=folder.name, **options)
    add_cleanup(whole.stop)
    whole.start()
    samples.write_lists(whole.store.url)
    whole.wait_until_ready()
    return whole
