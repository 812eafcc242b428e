"""Builders of targets and changes for the tests."""

from pomeloward import model
from pomeloward import policy
from pomeloward import replica


def make_target(target_id="t1", **fields):
    all_fields = {
        "service": model.ServiceId("orders"),
        "address": "10.0.0.1:80",
        "zone": model.ZoneId("a"),
        "slots": 3,
    }
    all_fields.update(fields)
    return replica.Target(model.TargetId(target_id), **all_fields)


def make_policy_change(revision, version):
    return replica.PolicyChange(
        revision, policy.Policy(model.Version(version))
    )
