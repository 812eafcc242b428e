"""Tests of admission control."""

from pomeloward import model
from pomeloward import policy
from pomeloward import quota
from pomeloward import relay
from pomeloward.relay import requesthead

_KEY_DIGEST = policy.hash_api_key(b"key")


def _make_admission_control(rate_per_s=0.0):
    splits = (policy.WeightedService(model.ServiceId("orders"), 1.0),)
    route = policy.Route(
        model.RouteId("r"), "h", "/", True, 1_000.0, 300.0, 1, splits
    )
    team = policy.Team(model.TeamId("t"), (_KEY_DIGEST,), 0, rate_per_s, 2.0)
    configuration = policy.Policy(
        model.Version(3), routes=(route,), teams=(team,)
    )
    rate_limiter = quota.TeamRateLimiter(True)
    rate_limiter.update_teams(configuration.teams, 0.0)
    admission_control = relay.AdmissionControl(rate_limiter)
    admission_control.policy_index = policy.PolicyIndex(configuration)
    return admission_control


def _make_request_head(key_digest=_KEY_DIGEST):
    return requesthead.RequestHead(
        "GET", "h", "/x", b"/x", [], key_digest, None, None, False
    )


def test_host_without_configuration_refuses_as_starting():
    refused = relay.AdmissionControl(quota.TeamRateLimiter(True)).admit(
        _make_request_head(), 0.0
    )
    assert refused.error.kind is model.ErrorKind.HOST_STARTING
    assert refused.error.rule.status == 503


def test_stopping_host_refuses_as_draining():
    admission_control = _make_admission_control()
    admission_control.refuse_beyond(0.0)
    refused = admission_control.admit(_make_request_head(), 0.0).error
    assert refused.kind is model.ErrorKind.HOST_DRAINING
    assert refused.retry_after_ms > 0


def test_stopping_host_takes_only_requests_that_end_before_its_exit():
    admission_control = _make_admission_control()
    admission_control.refuse_beyond(1_500.0)
    assert admission_control.admit(_make_request_head(), 500.0).is_ok()
    refused = admission_control.admit(_make_request_head(), 500.1).error
    assert refused.kind is model.ErrorKind.HOST_DRAINING


def test_admission_has_team_and_version_of_the_configuration():
    admitted = _make_admission_control().admit(_make_request_head(), 0.0).ok
    assert (admitted.team.id, admitted.configuration_version) == ("t", 3)


def test_team_over_its_rate_is_refused_with_retry_after():
    admission_control = _make_admission_control(rate_per_s=1.0)
    kinds = []
    for _ in range(4):
        admitted = admission_control.admit(_make_request_head(), 1.0)
        if admitted.is_error():
            kinds.append(admitted.error.kind)
            assert 0 < admitted.error.retry_after_ms <= 1_000
    assert kinds == [model.ErrorKind.RATE_EXCEEDED] * 2


def test_unknown_and_missing_keys_are_refused_differently():
    unknown = (
        _make_admission_control()
        .admit(_make_request_head(b"other"), 0.0)
        .error
    )
    missing = (
        _make_admission_control().admit(_make_request_head(None), 0.0).error
    )
    assert unknown.kind is model.ErrorKind.KEY_UNKNOWN
    assert missing.kind is model.ErrorKind.KEY_MISSING
