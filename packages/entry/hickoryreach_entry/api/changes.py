"""Applies changes to the lists and builds the responses to them."""

from collections.abc import Callable

from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import edits
from hickoryreach.structure import jobs
from hickoryreach_entry import lists
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import problems

RETRY_AFTER_S = 1


def make_change(in_force: lists.Lists, edit: edits.Edit) -> answers.Outcome:
    """Applies an edit, and returns its outcome."""
    return (
        in_force.edit(edit)
        .map(
            lambda accepted: answers.Answer(
                media={
                    "list": edit.name,
                    "revision": accepted.head.revision,
                    "diff": list(accepted.lines),
                }
            )
        )
        .alt(
            lambda failure: PROBLEM_BUILDERS[type(failure)](edit.name, failure)
        )
    )


def find_list_name(name: str) -> result.Result[str, problems.Problem]:
    """Returns the name, or a problem if no list has it."""
    if name in documents.LIST_NAMES:
        return result.Success(name)
    return result.Failure(
        problems.Problem(
            status=404,
            reason="unknown_list",
            detail=f"Use one of: {', '.join(documents.LIST_NAMES)}.",
        )
    )


def describe_list(
    name: str, revision: int, flat: documents.FlatDocument
) -> dict[str, object]:
    """Returns the JSON form of a list."""
    document = documents.unflatten(name, flat)
    return {
        "list": name,
        "revision": revision,
        "document": document.model_dump(mode="json"),
    }


def build_faults_problem(
    refused: edits.Refused, status: int
) -> problems.Problem:
    """Returns the problem for a document with faults."""
    return problems.Problem(
        status=status,
        reason="malformed" if status == 400 else "list_refused",
        detail="Correct what `faults` lists.",
        extra={"faults": list(refused.faults)},
    )


def build_refused_problem(
    name: str, failure: edits.Refused
) -> problems.Problem:
    """Returns the problem for a change that would make the lists invalid."""
    return build_faults_problem(failure, 422)


def build_outdated_problem(
    name: str, failure: edits.Outdated
) -> problems.Problem:
    """Returns the problem for a lost race, with the newer list."""
    kept = failure.kept
    return problems.Problem(
        status=409,
        reason="revision_outdated",
        detail="Another change was accepted first; make yours on the newer "
        "revision in `current`.",
        extra={"current": describe_list(name, kept.head.revision, kept.flat)},
    )


def build_unavailable_problem(
    name: str, failure: edits.Unavailable
) -> problems.Problem:
    """Returns the problem for a change that the store did not confirm."""
    if not failure.token:
        return build_store_problem(failure.reason)
    return problems.Problem(
        status=504,
        reason="change_unclear",
        detail="The store did not tell whether the change was accepted; look "
        "for its token in the audit trail.",
        ran=jobs.ExecutionStatus.UNKNOWN,
        extra={"token": failure.token},
    )


def build_store_problem(reason: str) -> problems.Problem:
    """Returns the problem for a call that the store did not serve."""
    return problems.Problem(
        status=503,
        reason="store_unavailable",
        detail=f"Nothing was changed; send the call again later ({reason}).",
        retry_after_s=RETRY_AFTER_S,
    )


PROBLEM_BUILDERS: dict[type, Callable[[str, object], problems.Problem]] = {
    edits.Refused: build_refused_problem,
    edits.Outdated: build_outdated_problem,
    edits.Unavailable: build_unavailable_problem,
}
