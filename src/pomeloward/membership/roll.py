"""The decisions of membership."""

from pomeloward import catalog
from pomeloward import model
from pomeloward.membership import digest
from pomeloward.membership import hearsay
from pomeloward.membership import mesh
from pomeloward.membership import messages
from pomeloward.membership import sighting

# Heartbeat periods; with more hosts than fit into the full mesh the longer
# one keeps the traffic of 32 contacts and the digest within its share.
MESH_PERIOD_MS = 500.0
LARGE_PERIOD_MS = 1_000.0
# How long a change of state comes first in digests.
_NEWS_MS = 3_000.0


class Roll:
    """Implements ``Membership`` from the beats that arrive.

    Knowledge is first-hand of the hosts that beat here, and second-hand by
    digests of the other hosts of a large region. A contact counts for
    standing only when it has been heard lately and says the same of this
    host, so a link that is cut in one direction counts as cut.
    """

    def __init__(
        self,
        own: model.HostId,
        region: model.RegionId,
        incarnation: model.Incarnation,
    ) -> None:
        self.state = model.HostState.STARTING
        self.load = 0
        self._own = own
        self._region = region
        self._incarnation = incarnation
        self._version = model.Version(0)
        self._mesh = mesh.Mesh(own, region, {})
        self._contact_since_ms: dict[model.HostId, float] = {}
        self._sightings: dict[model.HostId, sighting.Sighting] = {}
        self._hearsay = hearsay.Hearsay()
        self._next_entry = 0

    def configure(self, view: catalog.View, now_ms: float) -> None:
        """Take the hosts of a new configuration."""
        self._version = view.version
        by_region = mesh.hosts_by_region(view)
        if by_region == self._mesh.by_region:
            return
        self._mesh = mesh.Mesh(self._own, self._region, by_region)
        self._contact_since_ms = {
            contact: self._contact_since_ms.get(contact, now_ms)
            for contact in self._mesh.contacts
        }
        for removed in self._sightings.keys() - self._mesh.everyone:
            del self._sightings[removed]
        self._hearsay.keep_only(self._mesh.everyone)

    @property
    def period_ms(self) -> float:
        """The time between two beats to one host."""
        return LARGE_PERIOD_MS if self._mesh.is_large else MESH_PERIOD_MS

    def beats(self, now_ms: float) -> list[tuple[model.HostId, messages.Beat]]:
        """Return the beats to send now, once in each period.

        Hosts that beat here without being contacts, by an older or newer
        list of hosts, get an answer too: their standing may depend on it.
        """
        receivers = dict.fromkeys((*self._mesh.contacts, *self._mesh.remote))
        for host, known in self._sightings.items():
            if known.is_fresh(now_ms):
                receivers[host] = None
        packed = self._digest(now_ms)
        return [
            (host, self._beat_for(host, packed, now_ms)) for host in receivers
        ]

    def _beat_for(
        self, host: model.HostId, packed: bytes, now_ms: float
    ) -> messages.Beat:
        known = self._sightings.get(host)
        return messages.Beat(
            incarnation=self._incarnation,
            state=digest.code_of(self.state),
            version=self._version,
            load=self.load,
            is_heard=known is not None and known.is_fresh(now_ms),
            digest=packed if host in self._contact_since_ms else b"",
        )

    def _digest(self, now_ms: float) -> bytes:
        """Return changes first, then the contacts in turn."""
        if not self._mesh.is_large:
            return b""
        contacts = self._mesh.contacts
        news = [host for host in contacts if self._is_news(host, now_ms)]
        heard = [host for host in contacts if self._seen(host, now_ms)]
        chosen = dict.fromkeys(news[: digest.MAX_ENTRIES])
        for _ in heard:
            if len(chosen) >= digest.MAX_ENTRIES:
                break
            self._next_entry = (self._next_entry + 1) % len(heard)
            chosen[heard[self._next_entry]] = None
        return digest.pack(
            (
                self._mesh.indexes[host],
                digest.code_of(self._seen(host, now_ms)),
            )
            for host in chosen
        )

    def _is_news(self, host: model.HostId, now_ms: float) -> bool:
        known = self._sightings.get(host)
        if known is None:
            return False
        fell_silent_ms = known.heard_ms + sighting.SILENCE_MS
        return (
            now_ms < known.changed_ms + _NEWS_MS
            or fell_silent_ms <= now_ms < fell_silent_ms + _NEWS_MS
        )

    def _seen(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        known = self._sightings.get(host)
        if known is None or not known.is_fresh(now_ms):
            return None
        return known.state

    def received(
        self, host: model.HostId, beat: messages.Beat, now_ms: float
    ) -> None:
        """Take a beat from an authenticated host."""
        state = digest.state_of(beat.state)
        known = self._sightings.get(host)
        is_fresh = known is not None and known.is_fresh(now_ms)
        if state is None or host == self._own:
            return
        changed_ms = now_ms
        if known is not None and is_fresh:
            if beat.incarnation < known.incarnation:
                # A late beat of a process that has been replaced.
                return
            if known.state is state:
                changed_ms = known.changed_ms
        self._sightings[host] = sighting.Sighting(
            incarnation=beat.incarnation,
            state=state,
            version=beat.version,
            load=beat.load,
            is_mutual=beat.is_heard,
            heard_ms=now_ms,
            changed_ms=changed_ms,
        )
        if beat.version == self._version and host in self._mesh.indexes:
            self._hearsay.take(beat.digest, self._mesh.hosts, now_ms)

    def state_of(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        """Return a host's state; None when it is silent or not known."""
        if host == self._own:
            return self.state
        seen = self._seen(host, now_ms)
        if seen is not None or host in self._contact_since_ms:
            return seen
        return self._hearsay.state_of(host, now_ms)

    def is_silent(self, host: model.HostId, now_ms: float) -> bool:
        """Tell whether a host is a contact and has fallen silent."""
        since_ms = self._contact_since_ms.get(host)
        if since_ms is None or now_ms < since_ms + sighting.SILENCE_MS:
            return False
        return self._seen(host, now_ms) is None

    def has_standing(self, now_ms: float) -> bool:
        """Tell whether more than half of the contacts are in touch.

        The host counts itself as one of them; otherwise the loss of one of
        three hosts would end the standing of the other two. Without a
        configuration there is none.
        """
        if not self._mesh.by_region:
            return False
        mutual = sum(
            known.is_mutual and known.is_fresh(now_ms)
            for known in map(self._sightings.get, self._mesh.contacts)
            if known is not None
        )
        return 2 * (mutual + 1) > len(self._mesh.contacts) + 1

    def ready_hosts(self, now_ms: float) -> list[model.HostId]:
        """Return the hosts known to be ready, this one included."""
        return [
            host
            for host in self._mesh.hosts
            if self.state_of(host, now_ms) is model.HostState.READY
        ]

    def contacts(self) -> tuple[model.HostId, ...]:
        """Return the hosts of the region that this host beats with."""
        return self._mesh.contacts

    def versions(self, now_ms: float) -> dict[model.HostId, model.Version]:
        """Return the configuration versions of the contacts heard lately."""
        return {
            host: known.version
            for host, known in self._sightings.items()
            if host in self._contact_since_ms and known.is_fresh(now_ms)
        }

    def load_of(self, host: model.HostId, now_ms: float) -> int | None:
        """Return the load of a host in percent, or None if not heard."""
        known = self._sightings.get(host)
        if known is None or not known.is_fresh(now_ms):
            return None
        return known.load
