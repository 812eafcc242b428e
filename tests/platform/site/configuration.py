"""The configuration of the platform that a site publishes."""

from tests.platform import fleet
from tests.platform.site import shape as shapes

# Path prefix, method, whether it is an order, service.
ROUTES = (
    ("/status/", "GET", False, "orders"),
    ("/regrind/", "POST", True, "orders"),
    ("/booking/", "PUT", True, "logistics"),
    ("/wear/", "GET", False, "logistics"),
)


def configuration(shape):
    columns = fleet.configuration()["routes"]["columns"]
    service_columns = fleet.configuration()["services"]["columns"]
    return fleet.configuration(
        routes={"columns": columns, "rows": [_route(*one) for one in ROUTES]},
        services={
            "columns": service_columns,
            "rows": [
                [name, "/health", 390, "h1", False, 3.0, 11.0]
                for name in shape.targets
            ],
        },
        tenants={
            "columns": ["name", "api-keys"],
            "rows": [["team", [shapes.KEY]]],
        },
    )


def _route(prefix, method, is_order, service):
    kind = "non_idempotent" if is_order else "idempotent"
    return [
        prefix.strip("/"),
        shapes.HOST_NAME,
        prefix,
        kind,
        3.0,
        0.5,
        1,
        None,
        2,
        False,
        service,
    ]
