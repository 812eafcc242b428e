"""Compares what callers got with what targets wrote."""

import collections

CHECKS = ("first", "failure", "id", "once", "refused")
_REFUSALS = (408, 421, 429, 503)


def judge(requests, answers, runs):
    """Return the wrong answers, as pairs of a check and a request's id."""
    by_id = collections.defaultdict(list)
    for one in answers:
        by_id[one["id"]].append(one)
    times_run = collections.Counter(one["id"] for one in runs)
    wrong = []
    for one in requests:
        found = by_id[one["id"]]
        broken = {
            "first": _is_success(one) and not _is_first_hand(one, found),
            "failure": _is_signed_failure(one) and not _is_given(one, found),
            "id": _is_foreign(one),
            "once": one["is_order"] and times_run[one["id"]] > 1,
            "refused": one["is_order"]
            and one["status"] in _REFUSALS
            and times_run[one["id"]] > 0,
        }
        wrong += [(check, one["id"]) for check in CHECKS if broken[check]]
    return wrong


def _is_success(request):
    return 200 <= request["status"] < 300


def _is_signed_failure(request):
    return request["status"] >= 300 and request["signature"] != ""


def _is_first_hand(request, answers):
    """Tell whether a target wrote the success, whole and as the first."""
    return any(
        not one["is_second"]
        and one["cut_bytes"] is None
        and _is_success(one)
        and one["signature"] != ""
        and one["status"] == request["status"]
        and one["signature"] == request["signature"]
        and one["hash"] == request["hash"]
        for one in answers
    )


def _is_given(request, answers):
    return any(
        not one["is_second"]
        and one["signature"] == request["signature"]
        and one["status"] == request["status"]
        for one in answers
    )


def _is_foreign(request):
    """Tell whether an answer has another id, or is a success without one."""
    if request["answer_id"] == "":
        return _is_success(request) or _is_signed_failure(request)
    return request["answer_id"] != request["id"]
