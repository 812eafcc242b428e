"""Tests of admission."""

from pomeloward import model
from pomeloward import policy
from pomeloward import quota
from pomeloward import relay
from pomeloward.relay import requesthead

_DIGEST = policy.hash_api_key(b"key")


def _gate(rate_per_s=0.0):
    splits = (policy.WeightedService(model.ServiceId("orders"), 1.0),)
    route = policy.Route(
        model.RouteId("r"), "h", "/", True, 1_000.0, 300.0, 1, splits
    )
    team = policy.Team(model.TeamId("t"), (_DIGEST,), 0, rate_per_s, 2.0)
    given = policy.Policy(model.Version(3), routes=(route,), teams=(team,))
    rate_limiter = quota.TeamRateLimiter(True)
    rate_limiter.update_teams(given.teams, 0.0)
    gate = relay.AdmissionControl(rate_limiter)
    gate.policy_index = policy.PolicyIndex(given)
    return gate


def _caller(digest=_DIGEST):
    return requesthead.RequestHead(
        "GET", "h", "/x", b"/x", [], digest, None, None, False
    )


def test_host_without_a_configuration_promises_that_nothing_ran():
    refused = relay.AdmissionControl(quota.TeamRateLimiter(True)).admit(
        _caller(), 0.0
    )
    assert refused.error.kind is model.ErrorKind.HOST_STARTING
    assert refused.error.rule.status == 503


def test_stopping_host_says_so():
    gate = _gate()
    gate.stop_admitting()
    refused = gate.admit(_caller(), 0.0).error
    assert refused.kind is model.ErrorKind.HOST_DRAINING
    assert refused.retry_after_ms > 0


def test_team_and_version_are_those_of_the_configuration():
    admitted = _gate().admit(_caller(), 0.0).ok
    assert (admitted.team.id, admitted.configuration_version) == ("t", 3)


def test_team_over_its_rate_is_told_when_to_return():
    gate = _gate(rate_per_s=1.0)
    kinds = []
    for _ in range(4):
        admitted = gate.admit(_caller(), 1.0)
        if admitted.is_error():
            kinds.append(admitted.error.kind)
            assert 0 < admitted.error.retry_after_ms <= 1_000
    assert kinds == [model.ErrorKind.RATE_EXCEEDED] * 2


def test_unknown_and_missing_keys_are_told_apart():
    unknown = _gate().admit(_caller(b"other"), 0.0).error
    missing = _gate().admit(_caller(None), 0.0).error
    assert unknown.kind is model.ErrorKind.KEY_UNKNOWN
    assert missing.kind is model.ErrorKind.KEY_MISSING
