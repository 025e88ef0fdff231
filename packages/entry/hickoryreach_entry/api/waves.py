"""Resource through which callers cancel many jobs at once."""

import falcon
import gevent
from returns import result

from hickoryreach.wire import messages
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import resources

SENDS = 3
SEND_INTERVAL_S = 0.2


class Wave(resources.WorkResource):
    """Cancels every job of one wave."""

    @answers.answered
    def on_delete(self, req: falcon.Request, wave: str) -> answers.Outcome:
        """Asks every owner to cancel the caller's jobs of a wave."""
        return self.access.find_caller(req).bind(
            lambda caller: self.cancel(caller.workspace, wave)
        )

    def cancel(self, workspace: str, wave: str) -> answers.Outcome:
        """Sends the cancellation to each shard, against loss more than once."""
        message = messages.Cancellation(workspace=workspace, wave=wave)
        sent = self.send(message)
        for _ in range(SENDS - 1):
            gevent.sleep(SEND_INTERVAL_S)
            sent = self.send(message)
        if not sent:
            return result.Failure(notices.refuse_ownerless())
        return result.Success(
            answers.Answer(media={"wave": wave, "cancelling": True}, status=202)
        )

    def send(self, message: messages.Cancellation) -> bool:
        """Returns whether every shard had an owner to send the message to."""
        return all(
            [
                self.front.send_to_owner(shard, "cancellations", message)
                for shard in range(self.shards)
            ]
        )
