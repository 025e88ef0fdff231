"""Resources through which operators grant and withdraw keys."""

import falcon
import pydantic

from hickoryreach.lists import editor
from hickoryreach.lists import key_edits
from hickoryreach.lists import plans
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import changes


class Grant(pydantic.BaseModel):
    """Body of a grant; the key itself never comes here."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    workspace: plans.Name
    key_id: plans.Name
    hash: plans.Hash


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
        return changes.make_change(
            self.lists,
            editor.Edit(
                name="plans",
                actor=operator,
                action="grant",
                revision=None,
                build=key_edits.grant_key(grant.workspace, key),
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
            lambda operator: changes.make_change(
                self.lists,
                editor.Edit(
                    name="plans",
                    actor=operator,
                    action="withdraw",
                    revision=None,
                    build=key_edits.withdraw_key(workspace, key_id),
                    floor=self.lists.revisions["plans"],
                ),
            )
        )
