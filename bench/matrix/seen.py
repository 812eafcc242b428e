"""What fake targets and callers saw; the checks read nothing else."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True)
class Start:
    """A request that began to run at a target, or tried to connect."""

    at_s: float
    target: model.TargetId
    host: model.HostId
    marker: str
    request_id: str
    order: str
    headers: list[tuple[bytes, bytes]]
    path: bytes
    method: str
    running: int
    bears: int
    is_connect_only: bool = False
    ended_at_s: float | None = None


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request, what it sent and what it got."""

    marker: str
    host: model.HostId
    team: str
    key: str
    kind: str
    sent_at_s: float
    is_allowed: bool
    order: str = ""
    expected: bytes = b""
    status: int = 0
    length: int | None = None
    body: bytes = b""
    run: str = ""
    refusal: str = ""
    is_complete: bool = False
    request_id: str = ""
    ended_at_s: float | None = None
    # When the last part of the answer came.
    last_at_s: float = 0.0
    has_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A ticket's way through a queue, seen around ``Admission.acquire``."""

    host: model.HostId
    team: str
    is_deferrable: bool
    service: str
    arrived_ms: float
    entered_ms: float
    left_ms: float
    has_slot: bool
    has_avoided: bool


@dataclasses.dataclass(slots=True)
class Published:
    """A change of the configuration and its marks for the checks."""

    version: int
    withdrawn: str = ""
    marker_key: str = ""
    leaving: tuple[model.TargetId, ...] = ()
    zones_out: tuple[str, ...] = ()
    added: tuple[model.TargetId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A look-up of addresses with the key of one version."""

    at_s: float
    host: model.HostId
    incarnation: int
    key: str
    status: int


@dataclasses.dataclass(slots=True)
class Seen:
    """Everything that was seen from outside during one cell."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    calls: list[Call] = dataclasses.field(default_factory=list)
    turns: list[Turn] = dataclasses.field(default_factory=list)
    published: list[Published] = dataclasses.field(default_factory=list)
    # Keys that were found where none may be: place and text.
    leaks: list[str] = dataclasses.field(default_factory=list)
    # Calls that were open when a planned stop had ended.
    cut_calls: list[str] = dataclasses.field(default_factory=list)
    lookups: list[Lookup] = dataclasses.field(default_factory=list)
    # (time, host, named addresses) of address answers.
    addresses: list[tuple[float, model.HostId, tuple[str, ...]]] = (
        dataclasses.field(default_factory=list)
    )
