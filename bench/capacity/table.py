"""The capacity table as Markdown."""

import collections.abc

from bench.capacity import losses
from bench.capacity import plan
from bench.capacity import row
from bench.capacity import size

_HEAD = (
    "| role | row | MB | messages/s | bytes/s | with TCP/IP | core % "
    "| reads/s | fit error | verdict | mechanism |",
    "| --- | --- | --: | --: | --: | --: | --: | --: | --: | --- | --- |",
)


def lines(found: plan.Plan) -> collections.abc.Iterator[str]:
    """Iterate over the lines of the table and its notes."""
    yield from _HEAD
    for each in found.rows:
        yield line(each)
    for each in sums(found):
        yield line(each)
    yield ""
    for each in found.rows:
        if not each.holds:
            yield f"* Miss: {each.name}. What would carry it: {each.change}."
    yield ""
    yield from _notes(found)


def sums(found: plan.Plan) -> list[row.Row]:
    """Return the sums; every host has its share of every role."""
    shared = [each for each in found.rows if each.role is not row.Role.READER]
    other = [each for each in shared if each not in found.reports.rows]
    return [
        row.total(row.Role.EVERY, "**sum of a host**", shared),
        row.total(row.Role.READER, "**sum of a reader**", found.rows),
        row.total(
            row.Role.EVERY,
            "**sum if a service is served by 4 hosts of a region**",
            [*other, *found.few_rows],
        ),
    ]


def line(each: row.Row) -> str:
    """Return a row of the table."""
    cells = (
        each.role.value,
        each.name,
        _number(each.state_mb),
        _number(each.messages_per_s),
        _number(each.bytes_per_s),
        _number(each.packet_bytes_per_s),
        _number(100 * each.core_ratio),
        _number(each.reads_per_s),
        f"{each.error_ratio:.1%}",
        each.verdict,
        each.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def _notes(found: plan.Plan) -> collections.abc.Iterator[str]:
    config = found.configuration
    transport = found.run.transport
    load = config.load_s
    apply = config.apply_s
    hops = found.hops.at(size.HOSTS)
    yield (
        f"* Load at start: {load.at(size.TEAMS):.2f} s of a core, fit error "
        f"{load.error_ratio:.1%}; {found.snapshot_shards} shards of a "
        "snapshot."
    )
    yield (
        f"* One change: {1e3 * apply.at(size.TEAMS):.1f} ms from its bytes "
        f"to its use, fit error {apply.error_ratio:.1%}; at most "
        f"{hops:.1f} hops. The bound of {size.CHANGE_BOUND_S:.0f} s leaves "
        f"{size.CHANGE_BOUND_S / max(hops, 1):.1f} s a hop."
    )
    for name, lookup in config.lookup_s.items():
        yield (
            f"* Look-up of a {name}: {1e6 * lookup.at(size.TEAMS):.1f} us, "
            f"fit error {lookup.error_ratio:.1%}."
        )
    yield (
        f"* A message costs sender and receiver together "
        f"{1e6 * transport.message_s.at(100):.0f} us (fit error "
        f"{transport.message_s.error_ratio:.1%}); a connection with both "
        f"ends {transport.connection_mb.slope * 1e3:.0f} KB (fit error "
        f"{transport.connection_mb.error_ratio:.1%})."
    )
    yield (
        f"* Process after the import of `pomeloward.commands.host`: "
        f"{found.library_mb:.1f} MB resident, of which "
        f"{found.python_mb:.1f} MB are the interpreter."
    )
    for name, loss in (("rack", losses.of_rack()), ("zone", losses.of_zone())):
        yield (
            f"* Loss of a {name} of {loss.hosts} hosts in its region: "
            f"{loss.owners} of {size.PARTITIONS} partitions lose the owner, "
            f"{loss.majorities} the majority of voters, {loss.histories} the "
            "5 voters that a complete history of orders needs."
        )
    for hosts, loan in found.loan_bytes:
        yield f"* Loans, callers on {hosts} hosts: {loan:.1f} bytes a request."
    for label, loads in (
        ("hosts", found.reports.by_hosts),
        ("targets", found.reports.by_targets),
    ):
        for count, each in loads:
            yield (
                f"* One service, {count} {label}: {each.reports:.0f} "
                f"reports/s, {each.report_bytes + each.answer_bytes:.0f} "
                f"bytes/s, controller {100 * each.controller_core:.2f}% and "
                f"all hosts {100 * each.host_core:.2f}% of a core."
            )


def _number(value: float) -> str:
    if not value:
        return "-"
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
