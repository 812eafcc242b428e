"""A small fleet of spreaders with a faulty network and a platform."""

import dataclasses
import random
import typing

from pomeloward import catalog
from pomeloward.catalog import actions
from pomeloward.catalog import change
from pomeloward.catalog import pages
from pomeloward.catalog import puller

MAX_LETTERS = 500


@dataclasses.dataclass
class Letter:
    """A message under way; an ask keeps its time for the answer."""

    source: str
    host: str
    message: typing.Any
    form: str
    asked_at_ms: float
    incarnation: int
    ask_id: int


class World:
    """Hosts, links and the platform's published values."""

    def __init__(self, zones, first, seed=0, seed_count=3):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.hosts = list(zones)
        self.published = [first]
        self.payloads = {}
        self.cuts = set()
        self.letters = []
        self.nodes = {}
        self.incarnations = dict.fromkeys(self.hosts, 0)
        self.builds = 0
        self.ask_count = 0
        self.pending = {}
        self.seed_count = seed_count
        for host in self.hosts:
            self.start(host)

    def start(self, host):
        self.incarnations[host] += 1
        seeds = [each for each in self.hosts if each != host]
        rng = random.Random(self.rng.random())
        node = catalog.Spreader(host, seeds[: self.seed_count], rng)
        self.nodes[host] = node

    def publish(self, put=(), delete=()):
        last = self.published[-1]
        deletions = tuple(catalog.Deletion(*each) for each in delete)
        changed = catalog.Change(
            last.version, last.version + 1, tuple(put), deletions
        )
        self.published.append(last.applied(changed))
        self.payloads[changed.version] = change.encode_change(changed)

    def read(self, host, lag=0):
        """Let a host read the platform, whose copy may be stale."""
        node = self.nodes[host]
        newest = self.published[-1 - min(lag, len(self.published) - 1)]
        if node.view.version == 0:
            self.perform(host, node.on_built(newest, self.now_ms))
        payload = self.payloads.get(node.view.version + 1)
        if payload and newest.version > node.view.version:
            self.perform(host, node.on_change(payload, self.now_ms))

    def read_all(self, host):
        for _ in self.published:
            self.read(host)

    def perform(self, host, todo):
        for action in todo:
            match action:
                case actions.Tell():
                    self._send(host, action.host, action.notice, "tell")
                case actions.Ask():
                    self._send(host, action.host, action.question, "ask")
                case actions.Build():
                    self.builds += 1
                    found = pages.decode_pages(action.pages)
                    whole = catalog.Configuration.of_records(
                        action.version, found
                    )
                    node = self.nodes[host]
                    self.perform(host, node.on_built(whole, self.now_ms))

    def _send(self, source, host, message, form, asked=None):
        when_ms = asked.asked_at_ms if asked else self.now_ms
        if form == "ask":
            self.ask_count += 1
        ask_id = asked.ask_id if asked else self.ask_count
        incarnation = self.incarnations[host if form == "answer" else source]
        letter = Letter(
            source, host, message, form, when_ms, incarnation, ask_id
        )
        self.letters.append(letter)
        if form == "ask":
            self.pending[source, ask_id] = letter

    def deliver(self, index, is_kept=False):
        letter = self.letters[index]
        if not is_kept:
            del self.letters[index]
        is_cut = (letter.source, letter.host) in self.cuts
        if is_cut or letter.host not in self.nodes:
            return
        node = self.nodes[letter.host]
        if letter.form == "tell":
            todo = node.on_change(
                letter.message.change, self.now_ms, letter.source
            )
            self.perform(letter.host, todo)
        elif letter.form == "ask":
            answer = node.answer(letter.message, self.now_ms)
            self._answer(letter, answer)
        elif self._is_awaited(letter):
            self.pending.pop((letter.host, letter.ask_id), None)
            todo = node.on_answer(
                letter.source, letter.message, letter.asked_at_ms, self.now_ms
            )
            self.perform(letter.host, todo)

    def _answer(self, letter, answer):
        if letter.incarnation == self.incarnations[letter.source]:
            self._send(letter.host, letter.source, answer, "answer", letter)

    def _is_awaited(self, letter):
        age_ms = self.now_ms - letter.asked_at_ms
        return (
            letter.incarnation == self.incarnations[letter.host]
            and age_ms <= puller.ASK_TIMEOUT_MS
        )

    def lose(self, index):
        del self.letters[index]

    def advance(self, step_ms):
        self.now_ms += step_ms
        self._expire()
        for host, node in self.nodes.items():
            self.perform(host, node.on_tick(self.now_ms))

    def _expire(self):
        """Report questions without an answer, as the shell does."""
        for place, letter in list(self.pending.items()):
            age_ms = self.now_ms - letter.asked_at_ms
            is_same = letter.incarnation == self.incarnations[letter.source]
            if age_ms > puller.ASK_TIMEOUT_MS or not is_same:
                del self.pending[place]
                if is_same:
                    node = self.nodes[letter.source]
                    node.on_failure(letter.host, letter.message)

    def heartbeats(self):
        for host, node in self.nodes.items():
            for contact in node.contacts:
                is_cut = (host, contact) in self.cuts
                if contact in self.nodes and not is_cut:
                    self.nodes[contact].on_peer_version(
                        host, node.view.version, self.now_ms
                    )

    def settle(self, duration_ms, has_heartbeats=True):
        """Run with healed links and no loss."""
        self.cuts.clear()
        for step in range(int(duration_ms / 100)):
            self.advance(100.0)
            if step % 5 == 0 and has_heartbeats:
                self.heartbeats()
            # Only a fault in the code under test makes messages endless.
            for _ in range(MAX_LETTERS):
                if self.letters:
                    self.deliver(0)
