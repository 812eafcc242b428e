"""One row of the capacity table."""

import dataclasses
import enum

from bench.capacity import size


class Role(enum.Enum):
    """The duty of a host that a row belongs to."""

    EVERY = "every host"
    READER = "reader"
    VOTER = "voter"
    BUDGET = "owner of budgets"
    ORDERS = "owner of orders"
    CONTROLLER = "controller"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The cost of one mechanism for one host.

    ``bytes_per_s`` counts sent frames with websocket headers, without TCP
    and IP. ``reads_per_s`` is of the whole fleet. ``change`` names what would
    carry a row that misses its bound.
    """

    role: Role
    name: str
    mechanism: str
    state_mb: float = 0.0
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    core_ratio: float = 0.0
    reads_per_s: float = 0.0
    error_ratio: float = 0.0
    change: str = ""

    @property
    def packet_bytes_per_s(self) -> float:
        """Sent bytes with TCP and IP headers, one packet a message."""
        return self.bytes_per_s + self.messages_per_s * size.PACKET_BYTES

    @property
    def use_ratio(self) -> float:
        """The use of the bound that is used most."""
        return max(
            self.state_mb / size.STATE_BOUND_MB,
            self.bytes_per_s / size.BYTES_BOUND_PER_S,
            self.core_ratio / size.CORE_BOUND_RATIO,
            self.reads_per_s / size.READS_BOUND_PER_S,
        )

    @property
    def holds(self) -> bool:
        """Whether the row alone is within every bound."""
        return self.use_ratio <= 1.0

    @property
    def verdict(self) -> str:
        """Whether the row holds, and its use of the tightest bound."""
        word = "holds" if self.holds else "**misses**"
        return f"{word} {self.use_ratio:.3g}x"


def total(role: Role, name: str, rows: list[Row]) -> Row:
    """Return the sum of rows."""
    return Row(
        role,
        name,
        "sum",
        sum(row.state_mb for row in rows),
        sum(row.messages_per_s for row in rows),
        sum(row.bytes_per_s for row in rows),
        sum(row.core_ratio for row in rows),
        sum(row.reads_per_s for row in rows),
        max((row.error_ratio for row in rows), default=0.0),
    )
