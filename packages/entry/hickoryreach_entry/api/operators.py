"""Resources through which operators read and change the lists."""

from collections.abc import Callable

import falcon
import pydantic
from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import editor
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from hickoryreach.structure import jobs
from hickoryreach_entry import lists
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import problems

RETRY_S = 1
AUDIT_PAGE = 100
AUDIT_PAGE_MAX = 1_000


class Grant(pydantic.BaseModel):
    """Body of a grant; the key itself never comes here."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    workspace: plans.Name
    key_id: plans.Name
    hash: plans.Hash


class Document:
    """Reads or replaces one list."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Answers the list in force with its revision."""
        return find_name(name).bind(
            lambda known: self.access.find_operator(req).map(
                lambda _: answers.Answer(
                    media=describe_list(
                        known,
                        self.lists.revisions[known],
                        self.lists.flats[known],
                    )
                )
            )
        )

    @answers.answered
    def on_put(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Replaces the list, if `revision` still is the newest."""
        return find_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda operator: get_revision(req).bind(
                    lambda revision: read_document(req, known).bind(
                        lambda document: self.set(
                            known, operator, revision, document
                        )
                    )
                )
            )
        )

    def set(
        self, name: str, operator: str, revision: int, document: plans.Model
    ) -> answers.Outcome:
        """Makes the change."""
        return make_change(
            self.lists,
            editor.Edit(
                name=name,
                actor=operator,
                action="set",
                revision=revision,
                build=lambda _: result.Success(document),
                floor=self.lists.revisions[name],
            ),
        )


class Check:
    """Checks a document, and shows what it would change."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_post(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Answers the faults and the difference; changes nothing."""
        return find_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: bodies.read(req).map(
                    lambda body: self.check(known, body)
                )
            )
        )

    def check(self, name: str, body: bytes) -> answers.Answer:
        """Checks a document against the lists in force."""
        faults: list[str] = []
        lines: list[str] = []
        parsed = editor.parse(name, body)
        if isinstance(parsed, result.Failure):
            faults += parsed.failure().faults
        else:
            document = parsed.unwrap()
            other = getattr(self.lists, editor.OTHERS[name])
            faults += editor.find_faults(name, document, other)
            lines += self.compare(name, document)
        return answers.Answer(
            media={
                "list": name,
                "revision": self.lists.revisions[name],
                "faults": faults,
                "diff": lines,
            }
        )

    def compare(self, name: str, document: plans.Model) -> list[str]:
        """Returns the difference from the list in force."""
        before = self.lists.flats[name]
        delta = documents.compare(before, documents.flatten(document))
        return documents.describe(before, delta)


class Keys:
    """Grants keys."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Grants the key whose hash is in the body."""
        return self.access.find_operator(req).bind(
            lambda operator: (
                bodies.read(req)
                .bind(lambda body: bodies.parse(Grant, body))
                .bind(lambda grant: self.grant(operator, grant))
            )
        )

    def grant(self, operator: str, grant: Grant) -> answers.Outcome:
        """Makes the change."""
        key = plans.Key(key_id=grant.key_id, hash=grant.hash)
        return make_change(
            self.lists,
            editor.Edit(
                name="plans",
                actor=operator,
                action="grant",
                revision=None,
                build=editor.grant_key(grant.workspace, key),
                floor=self.lists.revisions["plans"],
            ),
        )


class Key:
    """Withdraws a key."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_delete(
        self, req: falcon.Request, workspace: str, key_id: str
    ) -> answers.Outcome:
        """Withdraws the key; one that is not granted is no fault."""
        return self.access.find_operator(req).bind(
            lambda operator: make_change(
                self.lists,
                editor.Edit(
                    name="plans",
                    actor=operator,
                    action="withdraw",
                    revision=None,
                    build=editor.withdraw_key(workspace, key_id),
                    floor=self.lists.revisions["plans"],
                ),
            )
        )


class Audit:
    """Lists who changed what, the newest change first."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Answers up to `limit` changes below the revision `before`."""
        limit = req.get_param_as_int("limit", min_value=1) or AUDIT_PAGE
        before = req.get_param_as_int("before", min_value=1)
        return find_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: self.list_changes(
                    known, before, min(limit, AUDIT_PAGE_MAX)
                )
            )
        )

    def list_changes(
        self, name: str, before: int | None, limit: int
    ) -> answers.Outcome:
        """Reads changes from the head, then from the segments."""
        client = self.lists.client
        read = storage.read_head(client, name)
        if isinstance(read, result.Failure):
            return result.Failure(store_problem(read.failure().reason))
        head = read.unwrap()[0]
        changes = list(reversed(head.changes))
        base = head.base_revision
        while base and len(below(changes, before)) < limit:
            segment = storage.read_segment(client, name, base)
            if isinstance(segment, result.Failure):
                return result.Failure(store_problem(segment.failure().reason))
            if segment.unwrap() is None:
                break
            changes += reversed(segment.unwrap().changes)
            base = segment.unwrap().base_revision
        page = below(changes, before)[:limit]
        return result.Success(
            answers.Answer(
                media={"list": name, "changes": [describe(c) for c in page]}
            )
        )


def below(
    changes: list[heads.Change], before: int | None
) -> list[heads.Change]:
    """Returns the changes below a revision."""
    return [c for c in changes if before is None or c.revision < before]


def describe(change: heads.Change) -> dict[str, object]:
    """Returns the JSON form of an audit record; hashes are masked."""
    return {
        "at_ms": change.at_ms,
        "actor": change.actor,
        "action": change.action,
        "from_revision": change.revision - 1,
        "to_revision": change.revision,
        "token": change.token,
        "set": {
            path: documents.show(path, value)
            for path, value in change.put.items()
        },
        "removed": list(change.removed),
    }


def describe_list(
    name: str, revision: int, flat: documents.Flat
) -> dict[str, object]:
    """Returns the JSON form of a list."""
    document = documents.unflatten(name, flat)
    return {
        "list": name,
        "revision": revision,
        "document": document.model_dump(mode="json"),
    }


def find_name(name: str) -> result.Result[str, problems.Problem]:
    """Returns the name of a list, if there is such a list."""
    if name in lists.NAMES:
        return result.Success(name)
    return result.Failure(
        problems.Problem(
            status=404,
            reason="unknown_list",
            detail=f"Use one of: {', '.join(lists.NAMES)}.",
        )
    )


def get_revision(
    req: falcon.Request,
) -> result.Result[int, problems.Problem]:
    """Returns the revision that a change was made on."""
    text = req.get_param("revision") or ""
    if text.isdecimal():
        return result.Success(int(text))
    return result.Failure(
        problems.Problem(
            status=400,
            reason="revision_missing",
            detail="Give `revision`, as the list was when you read it.",
        )
    )


def read_document(
    req: falcon.Request, name: str
) -> result.Result[plans.Model, problems.Problem]:
    """Returns the checked document in the body."""
    return bodies.read(req).bind(
        lambda body: editor.parse(name, body).alt(
            lambda refused: refuse_faults(refused, 400)
        )
    )


def refuse_faults(refused: editor.Refused, status: int) -> problems.Problem:
    """Returns the problem for a document with faults."""
    return problems.Problem(
        status=status,
        reason="malformed" if status == 400 else "list_refused",
        detail="Correct what `faults` lists.",
        extra={"faults": list(refused.faults)},
    )


def make_change(in_force: lists.Lists, edit: editor.Edit) -> answers.Outcome:
    """Makes a change, and answers how it ended."""
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
        .alt(lambda failure: PROBLEMS[type(failure)](edit.name, failure))
    )


def describe_refused(name: str, failure: editor.Refused) -> problems.Problem:
    """Returns the problem of a change that would break the lists."""
    return refuse_faults(failure, 422)


def describe_outdated(name: str, failure: editor.Outdated) -> problems.Problem:
    """Returns the problem of a lost race, with the newer list."""
    kept = failure.kept
    return problems.Problem(
        status=409,
        reason="revision_outdated",
        detail="Another change was accepted first; make yours on the newer "
        "revision in `current`.",
        extra={"current": describe_list(name, kept.head.revision, kept.flat)},
    )


def describe_unavailable(
    name: str, failure: editor.Unavailable
) -> problems.Problem:
    """Returns the problem of a store that gave no usable answer."""
    if not failure.token:
        return store_problem(failure.reason)
    return problems.Problem(
        status=504,
        reason="change_unclear",
        detail="The store did not tell whether the change was accepted; look "
        "for its token in the audit trail.",
        ran=jobs.Ran.UNKNOWN,
        extra={"token": failure.token},
    )


def store_problem(reason: str) -> problems.Problem:
    """Returns the problem of a call that the store did not serve."""
    return problems.Problem(
        status=503,
        reason="store_unavailable",
        detail=f"Nothing was changed; send the call again later ({reason}).",
        retry_after_s=RETRY_S,
    )


PROBLEMS: dict[type, Callable[[str, object], problems.Problem]] = {
    editor.Refused: describe_refused,
    editor.Outdated: describe_outdated,
    editor.Unavailable: describe_unavailable,
}
