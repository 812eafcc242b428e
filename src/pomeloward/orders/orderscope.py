"""Maps idempotency keys to partitions and names."""

import hashlib

import expression
import xxhash

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.orders import messages
from pomeloward.orders import orderid

_MAX_KEY_CHARACTERS = 256
_NAME_BYTES = 16


def layout_of(view: catalog.View) -> int:
    """Return a hash of what maps callers' own keys to partitions."""
    regions = sorted(
        (region.id, region.partitions) for region in view.regions()
    )
    return xxhash.xxh3_64_intdigest(repr(regions).encode()) >> 1


def make_order(
    view: catalog.View,
    ids: orderid.OrderIds,
    team: model.TeamId,
    route: model.RouteId,
    key: str,
    body_digest: bytes,
) -> expression.Result[messages.Order, model.Refusal]:
    """Return the order that a key names.

    Issued ids are scoped by team and name their partition. Callers' own keys
    are scoped by team and route; one partition of the whole fleet keeps
    each, so that a repeat in another region finds it.
    """
    if not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        return _refuse("The idempotency key has no valid length.")
    layout = layout_of(view)
    if orderid.is_issued(key):
        found = ids.parse(team, key)
        if found is None:
            return _refuse("The order id was not issued to this team.")
        return expression.Ok(
            messages.Order(
                found.partition,
                found.name,
                team,
                body_digest,
                found.issued,
                layout,
            )
        )
    scoped = "\0".join((team, route, key))
    name = hashlib.sha256(scoped.encode()).digest()[:_NAME_BYTES]
    region = max(
        view.regions(),
        key=lambda region: xxhash.xxh3_64_intdigest(name + region.id.encode()),
    )
    partition = ownership.partition_of(region, name.hex())
    return expression.Ok(
        messages.Order(partition, name, team, body_digest, None, layout)
    )


def _refuse(detail: str) -> expression.Result[messages.Order, model.Refusal]:
    return expression.Error(
        model.Refusal(model.ErrorKind.ORDER_KEY_INVALID, detail)
    )
