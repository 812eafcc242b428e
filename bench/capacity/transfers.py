"""The configuration as it reaches starting hosts."""

from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import catalog
from pomeloward.catalog import messages
from pomeloward.catalog import pages

# The most bytes of a shard, near the platform's limit of 1 MB for a value.
_SHARD_BYTES = 900_000


def page_figures(view: catalog.Configuration) -> tuple[int, float]:
    """Return the number of a configuration's pages and their bytes."""
    count = pages.page_count(view)
    total = 0
    for number in range(count):
        answer = messages.PageAnswer(
            version=view.version,
            page=number,
            pages=count,
            payload=pages.encode_page(view, number, count),
        )
        question = messages.PageAsk(version=view.version, page=number)
        total += framing.answer_bytes(answer) + framing.ask_bytes(question)
    return count, float(total)


def shard_count(view: catalog.Configuration) -> float:
    """Return the shards of a snapshot, in parts of one."""
    return sum(map(len, catalog.encode_shards(view))) / _SHARD_BYTES


def rows(run: runs.Run, by_pages: fit.Fit, by_bytes: fit.Fit) -> list[row.Row]:
    """Return the cost of pages for starts, a mean of all hosts."""
    starts = size.STARTS_PER_S / size.HOSTS
    messages_per_s = 2 * by_pages.at(size.TEAMS) * starts
    bytes_per_s = by_bytes.at(size.TEAMS) * starts
    return [
        row.Row(
            row.Role.EVERY,
            "configuration for starting hosts, 767 a day",
            "pages from one peer, built beside the loop",
            messages_per_s=messages_per_s,
            bytes_per_s=bytes_per_s,
            core_ratio=run.transport.core_ratio(messages_per_s, bytes_per_s),
            error_ratio=by_bytes.error_ratio,
        )
    ]
