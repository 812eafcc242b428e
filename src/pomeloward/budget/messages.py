"""Messages between borrowing hosts and owners of portions."""

import msgspec

from pomeloward import model
from pomeloward import peer


class LoanReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Totals of one loan: tokens spent, and tokens still kept for use."""

    number: int
    spent: int
    kept: int


class TakeTokens(peer.Message, frozen=True, tag="take_tokens"):
    """Asks the owner of a portion for tokens.

    ``number`` identifies the question and the loan. ``need`` counts waiting
    requests and ``extra`` expected ones.
    """

    number: int
    team: model.TeamId
    region: model.RegionId
    portion: int
    need: int
    extra: int
    reports: tuple[LoanReport, ...] = ()


class Tokens(peer.Message, frozen=True, tag="tokens"):
    """Answers ``TakeTokens``.

    ``fill_percent`` is what is left of the portion's burst. With no tokens
    granted, ``retry_after_ms`` is the time until the portion has refilled
    one. ``is_owner`` is false where the asked host does not hold the
    portion.
    """

    number: int
    granted: int = 0
    lifetime_ms: float = 0.0
    retry_after_ms: float = 0.0
    fill_percent: int = 0
    is_owner: bool = True


class ReportTokens(peer.Message, frozen=True, tag="report_tokens"):
    """Tells the owner of a portion what became of loans."""

    team: model.TeamId
    region: model.RegionId
    portion: int
    reports: tuple[LoanReport, ...]
