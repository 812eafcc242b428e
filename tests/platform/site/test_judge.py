"""Tests that feed the judge records of which each breaks one check."""

import pytest

from tests.platform.site import judge


def _request(**fields):
    return {
        "id": "q1",
        "is_order": True,
        "status": 200,
        "answer_id": "q1",
        "signature": "t1.1",
        "hash": "b1",
        **fields,
    }


def _answer(**fields):
    return {
        "id": "q1",
        "status": 200,
        "signature": "t1.1",
        "hash": "b1",
        "is_second": False,
        "cut_bytes": None,
        **fields,
    }


_FAILURE = {"status": 500}
_REFUSED = {"signature": "", "hash": "", "answer_id": ""}
_RUN = {"id": "q1"}


@pytest.mark.parametrize(
    ("request_fields", "answers", "runs"),
    [
        ({}, [_answer()], 1),
        (_FAILURE, [_answer(**_FAILURE)], 1),
        (_FAILURE, [_answer(**_FAILURE, cut_bytes=9)], 1),
        ({"status": 503, **_REFUSED}, [], 0),
        ({"status": 502, **_REFUSED}, [_answer(cut_bytes=9)], 1),
        ({"status": 0, **_REFUSED}, [_answer()], 1),
        ({"is_order": False}, [_answer(signature="t2.1"), _answer()], 2),
        ({"is_order": False, "status": 503, **_REFUSED}, [], 2),
        ({}, [_answer(), _answer(is_second=True, status=500)], 1),
    ],
)
def test_sound_records_are_not_called_wrong(request_fields, answers, runs):
    request = _request(**request_fields)
    assert judge.judge([request], answers, [_RUN] * runs) == []


@pytest.mark.parametrize(
    ("check", "request_fields", "answers", "runs"),
    [
        # A success that no target wrote.
        ("first", {}, [], 1),
        ("first", {}, [_answer(id="q2")], 1),
        ("first", {}, [_answer(**_FAILURE)], 1),
        ("first", {"status": 201}, [_answer()], 1),
        ("first", {}, [_answer(signature="t1.2")], 1),
        ("first", {}, [_answer(hash="b2")], 1),
        ("first", {}, [_answer(is_second=True)], 1),
        ("first", {}, [_answer(cut_bytes=99)], 1),
        ("first", {"signature": ""}, [_answer(signature="")], 1),
        # A failure of a target with a status that it did not give.
        ("failure", _FAILURE, [_answer()], 1),
        ("failure", {"status": 404}, [_answer(**_FAILURE)], 1),
        ("failure", _FAILURE, [_answer(**_FAILURE, is_second=True)], 1),
        ("failure", _FAILURE, [_answer(**_FAILURE, id="q2")], 1),
        # The answer to another request.
        ("id", {"answer_id": "q2"}, [_answer()], 1),
        ("id", {"answer_id": ""}, [_answer()], 1),
        ("id", {"status": 502, **_REFUSED, "answer_id": "q2"}, [], 1),
        # An order that ran twice.
        ("once", {}, [_answer()], 2),
        ("once", {"status": 0, **_REFUSED}, [], 2),
        # An order that ran though its caller was told that it had not.
        ("refused", {"status": 503, **_REFUSED}, [], 1),
        ("refused", {"status": 429, **_REFUSED}, [_answer()], 1),
        ("refused", {"status": 408, **_REFUSED}, [], 1),
        ("refused", {"status": 421, **_REFUSED}, [], 1),
    ],
)
def test_judge_misses_no_plant(check, request_fields, answers, runs):
    request = _request(**request_fields)
    found = judge.judge([request], answers, [_RUN] * runs)
    assert found == [(check, "q1")]
