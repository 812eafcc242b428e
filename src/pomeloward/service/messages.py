"""Messages between a host and the controller of a service."""

import msgspec

from pomeloward import model
from pomeloward import peer


class Evidence(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a host saw of one target and route since its last report.

    ``index`` is the target's place in the controller's table and ``route`` a
    short hash of the route, 0 where routes are too many. ``samples``
    latencies add up to ``centinats`` (hundredths of a nat over the route's
    usual latency). ``running`` and ``running_centinats`` describe requests
    under way that already take longer than usual.
    """

    index: int
    route: int = 0
    count: int = 0
    errors: int = 0
    sheds: int = 0
    connect_failures: int = 0
    samples: int = 0
    centinats: int = 0
    running: int = 0
    running_centinats: int = 0


class Report(peer.Message, frozen=True, tag="service-report"):
    """A host's whole state for one service; also asks for slots.

    ``epoch`` is the controller's epoch as the host knows it and ``table``
    the digest of the target table that indexes refer to; without agreement
    on both, the answer only says what they are. ``held`` has pairs of index
    and slots, ``demand`` pairs of team and requests (waiting and running).
    The fields from ``states`` on and ``echo_ms`` are sent to a new
    controller: what the host last heard of the targets, how long before the
    report, and under which version of the configuration. Their defaults are
    integers, which CBOR packs into 1 byte and a float into 9.
    """

    service: model.ServiceId
    incarnation: int
    sequence: int
    epoch: int = 0
    table: int = 0
    echo_ms: float = 0
    held: tuple[tuple[int, int], ...] = ()
    demand: tuple[tuple[model.TeamId, int], ...] = ()
    evidence: tuple[Evidence, ...] = ()
    avoided: tuple[int, ...] = ()
    states: bytes = b""
    states_age_ms: float = 0
    states_version: int = 0


class Answer(peer.Message, frozen=True, tag="service-answer"):
    """What a host may use until its next report is answered.

    ``is_agreed`` is false where epoch or table of the report differ; then
    the host repeats its report with those of the answer. ``states`` has one
    byte for each target of the table. ``avoid_slots`` bounds the slots of
    targets that the host may avoid by its own judgement, and ``reserve`` the
    idle slots it may keep. ``probes`` names targets to probe.
    """

    epoch: int
    sequence: int
    is_agreed: bool
    clock_ms: float
    version: int = 0
    targets: tuple[model.TargetId, ...] = ()
    grants: tuple[tuple[int, int], ...] = ()
    states: bytes = b""
    avoid_slots: int = 0
    reserve: int = 0
    probes: tuple[int, ...] = ()


class Nudge(peer.Message, frozen=True, tag="service-nudge"):
    """Asks a host to report at once: slots came free or are needed."""

    service: model.ServiceId
    epoch: int
