"""Spreads the configuration over the fleet."""

import collections.abc
import random

from pomeloward import model
from pomeloward import peer
from pomeloward.catalog import actions
from pomeloward.catalog import answers
from pomeloward.catalog import configuration
from pomeloward.catalog import contacts
from pomeloward.catalog import kind
from pomeloward.catalog import messages
from pomeloward.catalog import puller
from pomeloward.catalog import readiness
from pomeloward.catalog import store
from pomeloward.catalog import transfer
from pomeloward.catalog import view as views

TICK_MS = 100.0

Actions = list[actions.Action]
ContactsOf = collections.abc.Callable[
    [views.View, model.HostId], collections.abc.Collection[model.HostId]
]


class Spreader:
    """Decides what to push, pull and accept, and when to be ready.

    Accepted changes are pushed to at most 3 hosts; whatever a push misses is
    pulled from a peer that shows a newer version. ``seeds`` are the contacts
    of a host that has no configuration yet.
    """

    def __init__(
        self,
        own: model.HostId,
        seeds: collections.abc.Iterable[model.HostId],
        rng: random.Random,
        contacts_of: ContactsOf = contacts.contacts_of,
    ) -> None:
        self._own = own
        self._seeds = tuple(host for host in seeds if host != own)
        self._contacts_of = contacts_of
        self._store = store.Store()
        self._readiness = readiness.Readiness()
        self._puller = puller.Puller(rng)
        self._answers = answers.Answers(self._store)
        self._contacts: collections.abc.Collection[model.HostId] = self._seeds
        self._asked: collections.abc.Collection[model.HostId] = self._seeds
        self._targets: tuple[model.HostId, ...] = ()
        self._arranged = self._store.current

    @property
    def view(self) -> configuration.Configuration:
        """The configuration in force; version 0 before the first."""
        return self._store.current

    @property
    def is_ready(self) -> bool:
        """Whether versions were compared with enough contacts."""
        return self._readiness.is_ready

    @property
    def contacts(self) -> collections.abc.Collection[model.HostId]:
        """The peers that this host compares with; seeds at first."""
        return self._contacts

    @property
    def rejection(self) -> str:
        """The reason of the last rejected change, or nothing."""
        return self._store.rejection

    def behind_ms(self, now_ms: float) -> float:
        """Return for how long a peer's newer version has been known."""
        return self._puller.behind_ms(self.view.version, now_ms)

    def on_change(
        self,
        payload: bytes,
        now_ms: float,
        source: model.HostId | None = None,
    ) -> Actions:
        """Take a change from the platform (source None) or a peer's push."""
        done: Actions = []
        offered: bytes | None = payload
        while offered is not None:
            verdict, changed = self._store.offer(offered)
            if verdict is store.Verdict.ACCEPTED:
                self._adopt(done, now_ms)
                done += self._pushes(offered, source)
            elif changed is not None and source is not None:
                self._note(source, changed.version, now_ms)
            offered = self._store.next_waiting()
        return done

    def on_built(
        self, whole: configuration.Configuration, now_ms: float
    ) -> Actions:
        """Take a configuration that was built from a snapshot."""
        self._puller.is_building = False
        done: Actions = []
        if self._store.replace(whole):
            self._adopt(done, now_ms)
            waiting = self._store.next_waiting()
            if waiting is not None:
                done += self.on_change(waiting, now_ms)
        return done

    def on_build_failed(self, reason: str) -> None:
        """Note that a snapshot was malformed or broke a rule, or is old."""
        self._puller.is_building = False
        if reason:
            self._store.rejection = reason

    def on_peer_version(
        self, host: model.HostId, version: model.Version, now_ms: float
    ) -> None:
        """Take the version of a peer's heartbeat."""
        self._note(host, version, now_ms)

    def on_tick(self, now_ms: float) -> Actions:
        """Return the questions that are due; called every ``TICK_MS``."""
        done: Actions = [
            actions.Ask(host, messages.VersionAsk())
            for host in self._readiness.questions(self._asked, now_ms)
        ]
        pull = self._puller.next_question(
            self.view.version, now_ms, not self.is_ready
        )
        if pull is not None:
            done.append(actions.Ask(*pull))
        self._compare(now_ms)
        return done

    def on_answer(
        self,
        host: model.HostId,
        answer: peer.Message,
        asked_at_ms: float,
        now_ms: float,
    ) -> Actions:
        """Take the answer to a question that was sent at ``asked_at_ms``."""
        match answer:
            case messages.VersionAnswer():
                self._readiness.on_answer(host, answer.version, asked_at_ms)
                self._note(host, answer.version, now_ms)
                self._compare(now_ms)
                return []
            case messages.ChangesAnswer():
                return self._on_changes(host, answer, now_ms)
            case messages.PageAnswer():
                return self._on_page(host, answer)
        return []

    def on_failure(self, host: model.HostId, question: peer.Message) -> None:
        """Note that a question got no answer."""
        if not isinstance(question, messages.VersionAsk):
            self._puller.on_useless(host)

    def answer(
        self, question: peer.Message, now_ms: float
    ) -> peer.Message | None:
        """Answer a peer's question."""
        return self._answers.answer(question, now_ms)

    def _on_changes(
        self,
        host: model.HostId,
        answer: messages.ChangesAnswer,
        now_ms: float,
    ) -> Actions:
        before = self.view.version
        done: Actions = []
        for payload in answer.changes:
            done += self.on_change(payload, now_ms, host)
        self._puller.on_answered()
        if answer.is_gap:
            self._puller.transfer = transfer.Transfer(host)
        elif self.view.version == before:
            self._puller.on_useless(host)
        return done

    def _on_page(
        self, host: model.HostId, answer: messages.PageAnswer
    ) -> Actions:
        current = self._puller.transfer
        if current is None or current.host != host:
            return []
        if not current.is_expected(answer):
            self._puller.on_useless(host)
            return []
        self._puller.on_answered()
        whole = current.on_page(answer)
        if whole is None:
            return []
        self._puller.on_useless(host)
        self._puller.is_building = True
        return [actions.Build(answer.version, whole)]

    def _pushes(
        self, payload: bytes, source: model.HostId | None
    ) -> collections.abc.Iterable[actions.Action]:
        push = messages.ChangePush(change=payload)
        return [
            actions.Tell(host, push)
            for host in self._targets
            if host != source
        ]

    def _note(
        self, host: model.HostId, version: model.Version, now_ms: float
    ) -> None:
        own = self.view.version
        self._puller.on_version(host, version, own, now_ms)

    def _adopt(self, done: Actions, now_ms: float) -> None:
        """Follow a new configuration with contacts, pushes and readiness."""
        view = self.view
        if not view.has_same(kind.Kind.HOST, self._arranged):
            self._arrange(view)
        self._compare(now_ms)
        done.append(actions.InForce(view))

    def _arrange(self, view: configuration.Configuration) -> None:
        self._arranged = view
        # Seeds stay, since a stale configuration may list hosts long gone.
        if view.host(self._own) is None:
            self._contacts, self._targets = self._seeds, ()
        else:
            self._contacts = self._contacts_of(view, self._own)
            self._targets = contacts.push_targets(view, self._own)
        self._asked = dict.fromkeys((*self._contacts, *self._seeds))

    def _compare(self, now_ms: float) -> None:
        view = self.view
        # Without contacts or a place in the fleet there is nothing to
        # compare with, and the configuration may be stale.
        if self._contacts or view.host(self._own) is not None:
            self._readiness.update(self._contacts, view.version, now_ms)
