"""An entry as a member of its cell: who owns it, and the way there."""

import logging
import time

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.decisions import registry
from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry import greenlets
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import suspicion

log = logging.getLogger(__name__)

STATUS_S = 0.15
SILENT_S = 0.7
GREETING_TIMEOUT_S = 0.6
RANK_DELAY_S = 0.12
BOOT_DELAY_S = 0.25
CALL_TIMEOUT_S = 1.0
CALL_RETRY_S = 0.05
POLL_S = 0.05
ANNOUNCE_S = 0.1
DECLINE_S = 5.0
SILENT_FRESH_S = 2.5
STORE_FAILING_S = 0.3
STORE_LAG_S = 0.3
STORE_AGE_S = 1.5

handlers: registry.Registry = registry.Registry(title="frame handlers")


class Member:
    """Follows the owner of the cell, or is it.

    Attributes:
        owner: The ownership held by this entry, or None.
        upstream: Channel to the owner, or None.
        downstream: Channels of the entries that follow this one, by name.
        served_at: When the store last served each of them, in s.
        ownership: Latest ownership known.
        revision: Revision of the owner's key when it was last read.
        status: Latest status of the owner, or None.
        status_at: When it came, in s.
        unannounced: Kept jobs that no owner has confirmed yet, by id.
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
        self.upstream: channel.Channel | None = None
        self.downstream: dict[str, channel.Channel] = {}
        self.served_at: dict[str, float] = {}
        self.ownership: records.Ownership | None = None
        self.revision = 0
        self.status: frames.Status | None = None
        self.status_at = 0.0
        self.unannounced: dict[str, bytes] = {}
        self.draining = False
        self.declined_until = 0.0
        self.invited = gevent_event.Event()
        self.suspicion = suspicion.Suspicion(member=self)
        self.server = None

    def start(self) -> None:
        """Begins to serve peers and to follow the owner."""
        self.server = channel.serve(
            self.settings.listen.control, self.handle, self.forget_channel
        )
        greenlets.spawn_vital(self.follow_forever)
        greenlets.spawn_vital(self.tell_forever)
        greenlets.spawn_vital(self.announce_forever)

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
    def take_greeting(
        self, peer: channel.Channel, message: frames.Greeting
    ) -> None:
        """Takes in an entry that follows this one."""
        peer.peer = message.peer
        if self.owner is None:
            peer.send(status=frames.Status(epoch=0, leaving=True))
            return
        self.downstream[message.peer.name] = peer
        self.served_at[message.peer.name] = time.monotonic()
        log.info("peer_follows", extra={"peer": message.peer.name})
        peer.send(status=self.build_status())

    @handlers.register("status")
    def take_status(
        self, peer: channel.Channel, message: frames.Status
    ) -> None:
        """Takes in what the owner tells."""
        if peer is not self.upstream:
            return
        if not message.epoch:
            peer.close("not_owner")
            return
        self.status = message
        self.status_at = time.monotonic()
        if message.leaving:
            self.invited.set()

    @handlers.register("pulse")
    def take_pulse(self, peer: channel.Channel, message: frames.Pulse) -> None:
        """Notes when the store last served a follower."""
        if peer.peer is not None:
            self.served_at[peer.peer.name] = (
                time.monotonic() - message.store_age_ms / 1000
            )

    @handlers.register("submission")
    def take_submission(
        self, peer: channel.Channel, message: frames.Submission
    ) -> frames.JobReport:
        """Takes in a job of a follower."""
        return self.submit_here(message)

    def submit_here(self, message: frames.Submission) -> frames.JobReport:
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
        if not message.kept and not self.keep(job.job_id, message.job):
            return frames.JobReport(kept=False)
        owner.submit(job)
        return frames.JobReport(known=True)

    def keep(self, job_id: str, data: bytes) -> bool:
        """Writes a job for an entry that the store turns away."""
        key = records.name_job(job_id)
        written = self.client.write(
            puts=(store.Put(key=key, data=data),), expected=((key, 0),)
        )
        if isinstance(written, result.Success):
            return True
        conflict = written.failure().conflict
        return bool(conflict) and conflict[0].data == data

    @handlers.register("query")
    def take_query(
        self, peer: channel.Channel, message: frames.Query
    ) -> frames.JobReport:
        """Answers what is known of a job."""
        return self.query_here(message)

    def query_here(self, message: frames.Query) -> frames.JobReport:
        """Returns what the ownership of this entry knows of a job."""
        if self.owner is None or not self.owner.serving:
            return frames.JobReport(kept=False)
        return self.owner.query(message)

    @handlers.register("cancellation")
    def take_cancellation(
        self, peer: channel.Channel, message: frames.Cancellation
    ) -> frames.JobReport:
        """Cancels a job."""
        return self.cancel_here(message)

    def cancel_here(self, message: frames.Cancellation) -> frames.JobReport:
        """Has the ownership of this entry cancel a job."""
        owner = self.owner
        if owner is None or not owner.serving or owner.leaving:
            return frames.JobReport(kept=False)
        return owner.cancel(message, CALL_TIMEOUT_S)

    @handlers.register("advice_call")
    def take_advice_call(
        self, peer: channel.Channel, message: frames.AdviceCall
    ) -> frames.AdviceReport:
        """Asks the advice service for the owner."""
        return self.advisor.ask(message)

    @handlers.register("owner_question")
    def take_owner_question(
        self, peer: channel.Channel, message: frames.OwnerQuestion
    ) -> frames.OwnerReport:
        """Tells a peer whether this entry hears the owner."""
        if self.owner is not None:
            return frames.OwnerReport(heard=True, epoch=self.owner.epoch)
        epoch = self.ownership.epoch if self.ownership else 0
        heard = (
            self.is_following() and time.monotonic() - self.status_at < SILENT_S
        )
        return frames.OwnerReport(heard=heard, epoch=epoch)

    def forget_channel(self, peer: channel.Channel) -> None:
        """Forgets a follower whose connection has ended."""
        if peer.peer is None:
            return
        if self.downstream.get(peer.peer.name) is peer:
            del self.downstream[peer.peer.name]
            self.served_at.pop(peer.peer.name, None)
            log.warning(
                "peer_lost",
                extra={"peer": peer.peer.name, "reason": peer.reason},
            )

    def build_status(self) -> frames.Status:
        """Returns what followers are told."""
        owner = self.owner
        return frames.Status(
            epoch=owner.epoch if owner else 0,
            pending=owner.count_pending() if owner and owner.serving else {},
            succession=self.list_succession(),
            leaving=bool(owner and owner.leaving),
            silent=owner.fleet.list_silent() if owner else {},
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
                self.downstream.values(),
                key=lambda peer: (
                    now - self.served_at.get(peer.peer.name, 0.0) > STORE_AGE_S,
                    now - peer.heard_at > SILENT_S,
                    -peer.peer.processor,
                    peer.peer.name,
                ),
            )
        ]

    def tell_forever(self) -> None:
        """Sends followers the status, or the owner a pulse."""
        while True:
            gevent.sleep(STATUS_S)
            if self.owner is not None:
                self.review_store()
                status = self.build_status()
                for peer in list(self.downstream.values()):
                    peer.send(status=status)
            elif self.upstream is not None:
                age_s = time.monotonic() - self.client.get_answered_at()
                self.upstream.send(
                    pulse=frames.Pulse(store_age_ms=int(age_s * 1000))
                )

    def review_store(self) -> None:
        """Hands the ownership over if only this entry is turned away.

        That is shown by a follower that the store has served since it began
        to fail here; while it is away for all there is none.
        """
        owner = self.owner
        since = owner.progress.failing_since
        if not since or owner.leaving:
            return
        if time.monotonic() - since < STORE_FAILING_S:
            return
        served_at = max(self.served_at.values(), default=0.0)
        if served_at > since + STORE_LAG_S:
            log.warning("ownership_store_lost", extra={"epoch": owner.epoch})
            self.declined_until = time.monotonic() + DECLINE_S
            gevent.spawn(self.release)

    def release(self) -> None:
        """Hands the ownership over to the first of the succession."""
        owner = self.owner
        if owner is None or owner.leaving:
            return
        owner.hand_over()
        successors = self.list_succession()
        log.info(
            "ownership_released",
            extra={
                "epoch": owner.epoch,
                "to": successors[0].name if successors else "",
            },
        )
        status = self.build_status()
        for peer in list(self.downstream.values()):
            peer.send(status=status)
        gevent.sleep(POLL_S)
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
        for peer in list(self.downstream.values()):
            peer.close(reason)
        self.downstream.clear()

    def follow_forever(self) -> None:
        """Keeps a way to the owner, or takes over where there is none."""
        if not self.draining:
            self.follow_first()
        while not self.draining:
            if self.owner is not None:
                gevent.sleep(POLL_S)
                continue
            if self.is_following() and not self.invited.is_set():
                self.upstream.closed.wait(POLL_S)
                continue
            if not self.seek():
                gevent.sleep(POLL_S)

    def follow_first(self) -> None:
        """Lets the machines with the most processor time go first."""
        found = self.client.get(records.OWNER_KEY).value_or(None)
        if found is None or found.data is None:
            gevent.sleep(BOOT_DELAY_S / max(self.me.processor, 0.2))

    def is_following(self) -> bool:
        """Returns whether the owner has been heard lately."""
        upstream = self.upstream
        return (
            upstream is not None
            and not upstream.closed.is_set()
            and time.monotonic() - upstream.heard_at < SILENT_S
        )

    def seek(self) -> bool:
        """Finds the owner or takes over; returns whether there is one."""
        invited = self.invited.is_set()
        self.invited.clear()
        silent = self.upstream is not None and not self.upstream.closed.is_set()
        if not invited and not silent:
            self.drop_upstream("lost")
            if self.succeed():
                return True
        read = self.client.get(records.OWNER_KEY)
        if isinstance(read, result.Failure):
            return self.rejoin()
        item = read.unwrap()
        self.revision = item.revision
        found = records.decode_ownership(item.data)
        known = self.ownership
        changed = found is not None and (
            known is None or found.epoch != known.epoch
        )
        if found is not None and found.name != self.me.name:
            if changed and self.join(found):
                return True
            if not invited and not self.suspicion.is_dead(found, silent):
                return self.join(found)
        if self.must_wait(invited, item):
            return False
        return self.take_over(item, found)

    def succeed(self) -> bool:
        """Takes over from an owner whose process is gone, without reading.

        Only the first of the succession does; the revision that it knows
        makes the store refuse it if another has taken over.
        """
        known = self.ownership
        if known is None or not self.revision or self.get_rank():
            return False
        if self.status is None or time.monotonic() < self.declined_until:
            return False
        if self.join(known) or self.suspicion.refused != known.epoch:
            return self.is_following()
        item = store.Item(
            key=records.OWNER_KEY, data=None, revision=self.revision
        )
        return self.take_over(item, known)

    def rejoin(self) -> bool:
        """Follows the last known owner again while the store is away."""
        if self.ownership is None or self.ownership.name == self.me.name:
            return False
        return self.is_following() or self.join(self.ownership)

    def must_wait(self, invited: bool, item: store.Item) -> bool:
        """Waits for those that go first; returns whether one took over."""
        if time.monotonic() < self.declined_until:
            gevent.sleep(RANK_DELAY_S)
            return True
        rank = self.get_rank()
        if rank == 0:
            return False
        gevent.sleep(rank * RANK_DELAY_S * (2 if invited else 1))
        again = self.client.get(records.OWNER_KEY).value_or(None)
        return again is None or again.revision != item.revision

    def get_rank(self) -> int:
        """Returns this entry's place in the succession."""
        if self.status is None:
            return 0
        names = [peer.name for peer in self.status.succession]
        if self.me.name not in names:
            return len(names)
        return names.index(self.me.name)

    def join(self, found: records.Ownership) -> bool:
        """Connects to an owner; returns whether it answered as one."""
        self.drop_upstream("owner_changed")
        self.status_at = 0.0
        try:
            upstream = channel.connect(found.address, self.handle)
        except OSError as error:
            log.info(
                "owner_unreachable",
                extra={
                    "owner": found.name,
                    "epoch": found.epoch,
                    "reason": str(error),
                },
            )
            self.suspicion.note_connect(found, error)
            return False
        self.upstream = upstream
        upstream.send(greeting=frames.Greeting(peer=self.me))
        deadline = time.monotonic() + GREETING_TIMEOUT_S
        while time.monotonic() < deadline and not upstream.closed.is_set():
            if self.status_at:
                self.ownership = found
                self.suspicion.clear()
                log.info(
                    "owner_followed",
                    extra={"owner": found.name, "epoch": found.epoch},
                )
                return True
            gevent.sleep(0.01)
        if upstream.reason == "not_owner":
            self.suspicion.refused = found.epoch
        self.drop_upstream("no_greeting")
        return False

    def drop_upstream(self, reason: str) -> None:
        """Forgets the way to the owner."""
        if self.upstream is not None:
            log.info("owner_lost", extra={"cause": reason})
            self.upstream.close(reason)
            self.upstream = None

    def take_over(
        self, item: store.Item, found: records.Ownership | None
    ) -> bool:
        """Tries to become the owner; returns whether that worked."""
        wanted = records.Ownership(
            name=self.me.name,
            address=self.me.address,
            epoch=found.epoch + 1 if found else 1,
        )
        data = records.encode_ownership(wanted)
        written = self.client.write(
            puts=(store.Put(key=records.OWNER_KEY, data=data),),
            expected=((records.OWNER_KEY, item.revision),),
        )
        if isinstance(written, result.Success):
            self.begin_ownership(wanted, written.unwrap())
            return True
        failure = written.failure()
        log.info(
            "takeover_refused",
            extra={"epoch": wanted.epoch, "reason": failure.reason},
        )
        if failure.effect_unknown:
            again = self.client.get(records.OWNER_KEY).value_or(None)
            if again is not None and again.data == data:
                self.begin_ownership(wanted, again.revision)
                return True
        return False

    def begin_ownership(
        self, ownership: records.Ownership, revision: int
    ) -> None:
        """Becomes the owner under an epoch and a token."""
        self.drop_upstream("took_over")
        self.ownership = ownership
        self.suspicion.clear()
        log.info(
            "ownership_taken",
            extra={"epoch": ownership.epoch, "token": revision},
        )
        self.owner = owner_module.Owner(
            settings=self.settings,
            client=self.client,
            epoch=ownership.epoch,
            revision=revision,
            configuration=self.configuration,
            local_advisor=self.advisor,
            get_channels=lambda: self.downstream,
            silent=self.get_silent(ownership),
            on_deposed=lambda reason: gevent.spawn(self.end_ownership, reason),
        )
        self.owner.start()

    def get_silent(self, ownership: records.Ownership) -> dict[str, int]:
        """Returns what the last owner told of minions that do not answer.

        Empty if that was long ago, or told by an owner before the last.
        """
        status = self.status
        fresh = time.monotonic() - self.status_at < SILENT_FRESH_S
        if status is None or not fresh or status.epoch != ownership.epoch - 1:
            return {}
        return dict(status.silent or {})

    def offer(self, data: bytes) -> None:
        """Tells the owner of a job that is about to be kept."""
        message = frames.Submission(job=data, offered=True)
        if self.owner is not None:
            self.submit_here(message)
        elif self.upstream is not None:
            self.upstream.send(submission=message)

    def announce(self, job_id: str, data: bytes) -> None:
        """Tells the owner of a kept job, until it has confirmed."""
        self.unannounced[job_id] = data
        gevent.spawn(self.announce_one, job_id, data)

    def announce_one(self, job_id: str, data: bytes) -> None:
        """Tells the owner of one kept job."""
        report = self.ask_once(
            CALL_TIMEOUT_S, "submission", frames.Submission(job=data)
        )
        if report is not None and report.kept:
            self.unannounced.pop(job_id, None)

    def announce_forever(self) -> None:
        """Tells the owner again of what it has not confirmed."""
        while True:
            gevent.sleep(ANNOUNCE_S)
            if not self.unannounced or not self.has_owner():
                continue
            for job_id, data in list(self.unannounced.items()):
                self.announce_one(job_id, data)

    def has_owner(self) -> bool:
        """Returns whether there is an owner to speak to."""
        return self.owner is not None or self.is_following()

    def ask_once(
        self, timeout_s: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Asks the owner once; None without an answer."""
        if self.owner is not None:
            here = {
                "submission": self.submit_here,
                "query": self.query_here,
                "cancellation": self.cancel_here,
            }
            return here[field](message)
        if self.upstream is None:
            return None
        return self.upstream.call(timeout_s, **{field: message})

    def ask(
        self, deadline: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Asks the owner until it answers or a deadline passes.

        Args:
            deadline: Time on the steady clock, in s.
            field: Field of the frame.
            message: The message.
        """
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return None
            report = self.ask_once(min(left_s, CALL_TIMEOUT_S), field, message)
            if report is not None and report.kept:
                return report
            gevent.sleep(min(CALL_RETRY_S, left_s))

    def submit_job(self, job: steps.Job) -> None:
        """Announces a job that is kept."""
        self.announce(job.job_id, records.encode_job(job))

    def get_pending(self, queue: str, now: float, limit_s: float) -> int | None:
        """Returns the jobs of a queue none of whose tasks has started.

        None when nothing as young as `limit_s` is known.
        """
        if self.owner is not None and self.owner.serving:
            counts = self.owner.count_pending()
        elif self.status is not None and now - self.status_at <= limit_s:
            counts = self.status.pending or {}
        else:
            return None
        return counts.get(queue, 0)
