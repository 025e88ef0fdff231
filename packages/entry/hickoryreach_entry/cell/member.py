"""An entry as a member of its cell: who owns it, and the way there."""

import logging
import time

import gevent
from returns import result

from hickoryreach.decisions import registry
from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach.wire import frames
from hickoryreach_entry import greenlets
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import owner_client
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

STATUS_S = 0.15
SUCCESSION_LIMIT = 6
CALL_TIMEOUT_S = 1.0
DECLINE_S = 5.0
STORE_FAILING_S = 0.3
STORE_LAG_S = 0.1
STORE_ANSWER_S = 0.5
STRONGER = 1.5
STEADY_S = 1.0
STORE_AGE_S = 2.2  # longer than an idle entry's watch of the store

handlers: registry.Registry = registry.Registry(title="frame handlers")


class Member:
    """Follows the owner of the cell, or is it.

    Attributes:
        owner: The ownership held by this entry, or None.
        followers: Channels of the entries that follow this one, by name.
        store_served_at: When the store last served each of them, in s.
        election: The way to the owner.
        owner_client: What callers' requests ask of the owner.
        draining: Whether this entry is about to stop.
    """

    def __init__(
        self,
        *,
        settings: node_module.NodeSettings,
        client: store.Store,
    ) -> None:
        """Creates a member that follows nobody yet."""
        self.settings = settings
        self.client = client
        self.me = frames.PeerInfo(
            name=settings.node,
            address=settings.listen.control,
            processor=settings.processor,
        )
        self.advisor = advisors.LocalAdvisor(address=settings.advice)
        self.configuration: cells.Configuration | None = None
        self.owner: owner_module.Owner | None = None
        self.followers: dict[str, channel.Channel] = {}
        self.store_served_at: dict[str, float] = {}
        self.draining = False
        self.election = election.Election(member=self)
        self.owner_client = owner_client.OwnerClient(
            member=self, election=self.election
        )
        self.server = None

    def start(self) -> None:
        """Begins to serve peers and to follow the owner."""
        self.server = channel.serve(
            self.settings.listen.control, self.handle, self.remove_follower
        )
        greenlets.spawn_vital(self.election.follow_forever)
        greenlets.spawn_vital(self.send_status_forever)
        greenlets.spawn_vital(self.owner_client.report_stored_jobs_forever)

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Puts a configuration in force."""
        self.configuration = configuration
        if self.owner is not None:
            self.owner.change_configuration(configuration)

    def handle(
        self, peer: channel.Channel, name: str, message: object
    ) -> object | None:
        """Handles a message and returns its answer, if it has one."""
        return handlers.find(name)(self, peer, message)

    @handlers.register("greeting")
    def handle_greeting(
        self, peer: channel.Channel, message: frames.Greeting
    ) -> None:
        """Takes in an entry that follows this one."""
        peer.peer = message.peer
        if self.owner is None:
            peer.send(
                status=frames.Status(epoch=0, claiming=self.election.claiming)
            )
            return
        self.followers[message.peer.name] = peer
        self.owner.advice_dispatcher.dispatch()
        log.info("peer_follows", extra={"peer": message.peer.name})
        peer.send(status=self.build_status())

    @handlers.register("status")
    def handle_status(
        self, peer: channel.Channel, message: frames.Status
    ) -> None:
        """Takes in what the owner tells."""
        self.election.handle_status(peer, message)

    @handlers.register("pulse")
    def handle_pulse(
        self, peer: channel.Channel, message: frames.Pulse
    ) -> None:
        """Notes when the store last served a follower."""
        if peer.peer is not None:
            self.store_served_at[peer.peer.name] = (
                time.monotonic() - message.store_age_ms / 1000
            )

    @handlers.register("submission")
    def handle_submission(
        self, peer: channel.Channel, message: frames.Submission
    ) -> frames.JobReport:
        """Takes in a job of a follower."""
        return self.submit_locally(message)

    def submit_locally(self, message: frames.Submission) -> frames.JobReport:
        """Hands a job to the ownership of this entry."""
        owner = self.owner
        if owner is None or owner.leaving:
            return frames.JobReport(kept=False)
        decoded = records.decode_job(message.job)
        if isinstance(decoded, result.Failure):
            log.error(
                "submission_unreadable", extra={"reason": decoded.failure()}
            )
            return frames.JobReport(kept=True)
        job = decoded.unwrap()
        if message.offered:
            owner.offer(job)
            return frames.JobReport(known=True)
        if not message.kept:
            failure = self.keep(job.job_id, message.job)
            if failure is not None:
                return frames.JobReport(
                    kept=False,
                    unclear=failure.effect_unknown or bool(failure.conflict),
                )
        owner.submit(job)
        return frames.JobReport(known=True)

    def keep(self, job_id: str, data: bytes) -> store.StoreFailure | None:
        """Writes a job for an entry that the store turns away.

        Returns:
            Why it is not kept, or None if it is.
        """
        written = self.owner_client.write_job(job_id, data)
        if isinstance(written, result.Success):
            return None
        failure = written.failure()
        if failure.conflict and failure.conflict[0].data == data:
            return None
        return failure

    @handlers.register("query")
    def handle_query(
        self, peer: channel.Channel, message: frames.Query
    ) -> frames.JobReport:
        """Answers what is known of a job."""
        return self.query_locally(message)

    def query_locally(self, message: frames.Query) -> frames.JobReport:
        """Returns what the ownership of this entry knows of a job."""
        if self.owner is None or not self.owner.serving:
            return frames.JobReport(kept=False)
        return self.owner.published_states.query(message)

    @handlers.register("cancellation")
    def handle_cancellation(
        self, peer: channel.Channel, message: frames.Cancellation
    ) -> frames.JobReport:
        """Cancels a job."""
        return self.cancel_locally(message)

    def cancel_locally(self, message: frames.Cancellation) -> frames.JobReport:
        """Has the ownership of this entry cancel a job."""
        owner = self.owner
        if owner is None or not owner.serving or owner.leaving:
            return frames.JobReport(kept=False)
        return owner.cancel(message, CALL_TIMEOUT_S)

    @handlers.register("advice_call")
    def handle_advice_call(
        self, peer: channel.Channel, message: frames.AdviceCall
    ) -> frames.AdviceReport:
        """Asks the advice service for the owner.

        If that owner is gone meanwhile, the next one is told.
        """
        report = self.advisor.ask(message)
        if peer.closed.is_set():
            self.forward_advice()
        return report

    @handlers.register("advice_news")
    def handle_advice_news(
        self, peer: channel.Channel, message: frames.AdviceNews
    ) -> None:
        """Takes in advice that an earlier owner asked for."""
        if self.owner is not None:
            self.owner.apply_past_advice(message)

    def forward_advice(self) -> None:
        """Tells the owner of advice that is still valid."""
        news = self.advisor.collect_valid_advice()
        if not news.answers:
            return
        if self.owner is not None:
            self.owner.apply_past_advice(news)
        elif self.election.owner_channel is not None:
            self.election.owner_channel.send(advice_news=news)

    @handlers.register("owner_question")
    def handle_owner_question(
        self, peer: channel.Channel, message: frames.OwnerQuestion
    ) -> frames.OwnerReport:
        """Tells a peer whether this entry hears the owner."""
        if self.owner is not None:
            return frames.OwnerReport(
                heard=not self.owner.leaving,
                epoch=self.owner.epoch,
                owner=self.me,
            )
        return self.election.report()

    def remove_follower(self, peer: channel.Channel) -> None:
        """Forgets a follower whose connection has ended."""
        if peer.peer is None:
            return
        if self.followers.get(peer.peer.name) is peer:
            del self.followers[peer.peer.name]
            self.store_served_at.pop(peer.peer.name, None)
            log.warning(
                "peer_lost",
                extra={"peer": peer.peer.name, "reason": peer.reason},
            )

    def build_status(self) -> frames.Status:
        """Returns what followers are told."""
        owner = self.owner
        return frames.Status(
            epoch=owner.epoch if owner else 0,
            pending=owner.published_states.count_pending()
            if owner and owner.serving
            else {},
            succession=self.list_succession()[:SUCCESSION_LIMIT],
            leaving=bool(owner and owner.leaving),
            silent=owner.fleet.list_silent() if owner else {},
            serving=bool(owner and owner.serving),
        )

    def list_succession(self) -> list[frames.PeerInfo]:
        """Returns the followers in the order in which they take over.

        Those that reach the store go first, then those with the most
        processor time.
        """
        now = time.monotonic()
        return [
            peer.peer
            for peer in sorted(
                self.followers.values(),
                key=lambda peer: (
                    now - self.store_served_at.get(peer.peer.name, 0.0)
                    > STORE_AGE_S,
                    now - peer.last_received_at > election.SILENT_S,
                    -peer.peer.processor,
                    peer.peer.name,
                ),
            )
        ]

    def send_status_forever(self) -> None:
        """Sends followers the status, or the owner a pulse."""
        while True:
            gevent.sleep(STATUS_S)
            if self.owner is not None:
                self.check_store_access()
                self.check_stronger_follower()
                status = self.build_status()
                for peer in list(self.followers.values()):
                    peer.send(status=status)
            elif self.election.owner_channel is not None:
                age_s = time.monotonic() - self.client.health.answered_at
                self.election.owner_channel.send(
                    pulse=frames.Pulse(store_age_ms=int(age_s * 1000))
                )

    def check_store_access(self) -> None:
        """Hands the ownership over if only this entry is turned away.

        That is shown by a follower that the store has served since it began
        to fail here; while it is away for all there is none. A store that
        still answers a reading here has only lost answers.
        """
        owner = self.owner
        since = owner.progress.failing_since
        if not since or owner.leaving:
            return
        if time.monotonic() - since < STORE_FAILING_S:
            return
        store_served_at = max(self.store_served_at.values(), default=0.0)
        if (
            store_served_at > since + STORE_LAG_S
            and not self.is_store_responding()
        ):
            log.warning("ownership_store_lost", extra={"epoch": owner.epoch})
            self.election.declined_until = time.monotonic() + DECLINE_S
            gevent.spawn(self.release)

    def check_stronger_follower(self) -> None:
        """Hands the ownership over to a much stronger follower.

        A weak entry owns the cell when the strong ones were lost or cut off.
        """
        owner = self.owner
        first = next(iter(self.list_succession()), None)
        if owner is None or not owner.serving or owner.leaving or not first:
            return
        if first.processor < STRONGER * self.me.processor:
            return
        now = time.monotonic()
        steady_s = now - max(
            owner.begun_at, self.followers[first.name].opened_at
        )
        served_s = now - self.store_served_at.get(first.name, 0.0)
        if steady_s < STEADY_S or served_s > STORE_AGE_S:
            return
        if self.client.health.failing_since:
            return
        log.info(
            "ownership_passed_on",
            extra={
                "epoch": owner.epoch,
                "processor": self.me.processor,
                "to": first.name,
                "their_processor": first.processor,
            },
        )
        self.election.declined_until = now + DECLINE_S
        gevent.spawn(self.release)

    def is_store_responding(self) -> bool:
        """Returns whether the store answers a reading soon."""
        reading = gevent.spawn(self.client.get, records.OWNER_KEY)
        reading.join(STORE_ANSWER_S)
        return reading.ready() and isinstance(reading.value, result.Success)

    def release(self) -> None:
        """Hands the ownership over to the first of the succession."""
        owner = self.owner
        if owner is None or owner.leaving:
            return
        owner.leaving = True
        status = self.build_status()
        self.election.owner_lookup.record_peers(status.succession)
        for peer in list(self.followers.values()):
            peer.send(status=status)
        log.info(
            "ownership_released",
            extra={
                "epoch": owner.epoch,
                "to": status.succession[0].name if status.succession else "",
            },
        )
        owner.hand_over()
        self.end_ownership("released")

    def end_ownership(self, reason: str) -> None:
        """Stops being the owner."""
        owner = self.owner
        if owner is None:
            return
        self.owner = None
        owner.close()
        log.warning(
            "ownership_ended", extra={"epoch": owner.epoch, "cause": reason}
        )
        for peer in list(self.followers.values()):
            peer.close(reason)
        self.followers.clear()
