"""Plants faults one at a time and checks that the tests notice each.

Every plant is an edit of a copy of the source; the tests named beside it have
to fail there. Example::

    python -m bench.plants --only order-sent-twice
"""

import argparse
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).parent.parent
_COPIED = (
    "src",
    "tests",
    "bench",
    "standins",
    "deploy",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
_TIMEOUT_S = 240.0
# Exit statuses of pytest; any other one is an error of the run itself.
_TESTS_FAILED = 1
_TEST_STATUSES = frozenset({0, _TESTS_FAILED})


@dataclasses.dataclass(frozen=True)
class Plant:
    """A fault: ``old`` in ``path`` becomes ``new``, and ``tests`` fail."""

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


_SOURCE = "src/pomeloward/"
_PLANTS = (
    Plant(
        "body-taken-from-its-reader",
        _SOURCE + "entry/body.py",
        "if reader != self._newest_reader:",
        "if False:",
        ("tests/entry/test_body.py",),
    ),
    Plant(
        "relayed-without-its-body",
        _SOURCE + "relay/peerrelay.py",
        "may_repeat and request.body.can_replay and request.attempts_left > 0",
        "may_repeat and request.attempts_left > 0",
        ("tests/platform/test_relayedbodies.py",),
    ),
    Plant(
        "bytes-behind-an-answer-kept",
        _SOURCE + "wire/connection.py",
        "            unread\n            or not is_complete\n",
        "            not is_complete\n",
        ("tests/wire/test_connectionreuse.py",),
    ),
    Plant(
        "two-heads-read-as-one",
        _SOURCE + "wire/connection.py",
        "            responsehead.check(event)\n",
        "",
        (
            "tests/wire/test_connectionreuse.py",
            "tests/platform/test_splicedanswers.py",
        ),
    ),
    Plant(
        "answer-of-another-request",
        _SOURCE + "wire/requestidentity.py",
        "] == [self.request_id]",
        "][-1:] != []",
        ("tests/wire/test_foreignanswers.py",),
    ),
    Plant(
        "foreign-answers-without-limit",
        _SOURCE + "wire/connection.py",
        "request, head, _MAX_FOREIGN_BYTES - skipped_bytes",
        "request, head, 10**9",
        ("tests/wire/test_foreignanswers.py",),
    ),
    Plant(
        "id-carried-twice",
        _SOURCE + "wire/connection.py",
        "if is_repeated or self.has_expired():",
        "if self.has_expired():",
        ("tests/wire/test_repeatedids.py",),
    ),
    Plant(
        "reset-taken-for-an-end",
        _SOURCE + "wire/socketstream.py",
        "if self._has_failed_send:",
        "if False:",
        ("tests/wire/test_connectionreuse.py",),
    ),
    Plant(
        "entry-number-unbounded",
        _SOURCE + "platform/targetentry.py",
        "msgspec.Meta(le=1_000_000)",
        "msgspec.Meta(ge=0)",
        (
            "tests/platform/test_decoding.py",
            "tests/platform/test_storechanges.py",
        ),
    ),
    Plant(
        "large-policy-sent-whole",
        _SOURCE + "replica/policytransfer.py",
        "MAX_INLINE_BYTES = 512 * 1024",
        "MAX_INLINE_BYTES = 2**40",
        ("tests/replica/test_policytransfer.py",),
    ),
    Plant(
        "error-of-a-task-ends-the-host",
        _SOURCE + "edge/supervisor.py",
        "        except Exception as error:  # noqa: BLE001\n",
        "        except ZeroDivisionError as error:\n",
        ("tests/edge/test_supervisor.py",),
    ),
    Plant(
        "open-requests-cut-at-the-exit",
        _SOURCE + "edge/edgeserver.py",
        "            await components.open_requests.wait_until_none()\n",
        "            pass\n",
        ("tests/platform/test_hosts.py",),
    ),
    Plant(
        "last-response-reset",
        _SOURCE + "entry/connection.py",
        "_LINGER_S = 1.0",
        "_LINGER_S = 0.0",
        ("tests/platform/test_lastresponses.py",),
    ),
    Plant(
        "pool-closed-under-a-response",
        _SOURCE + "relay/targetclient.py",
        "                result.response.hold_link(link)\n",
        "                pass\n",
        ("tests/platform/test_targetfailures.py",),
    ),
    Plant(
        "order-sent-twice",
        _SOURCE + "relay/forwarder.py",
        "request.can_repeat\n            and state.sent_count",
        "True\n            and state.sent_count",
        ("tests/relay/test_forwarder.py",),
    ),
    Plant(
        "zone-out-ignored",
        _SOURCE + "balance/targetstate.py",
        "            or self.is_zone_out_of_service\n",
        "",
        ("tests/platform/test_storechanges.py",),
    ),
    Plant(
        "draining-target-used",
        _SOURCE + "balance/targetstate.py",
        "self.target.is_leaving\n            or ",
        "",
        ("tests/platform/test_storechanges.py",),
    ),
    Plant(
        "older-configuration-taken",
        _SOURCE + "replica/replica.py",
        "received.policy.version <= self.policy.version",
        "received.policy.version == self.policy.version",
        ("tests/replica",),
    ),
    Plant(
        "retry-budget-never-spent",
        _SOURCE + "retry/retrybudget.py",
        "        self._tokens -= 1.0\n",
        "",
        ("tests/retry",),
    ),
    Plant(
        "silent-zones-part-counted",
        _SOURCE + "quota/zonereporttracker.py",
        "return len(reporting_zones | {self._own_zone}) / max(1, zone_count)",
        "return 1.0",
        ("tests/quota",),
    ),
    Plant(
        "late-answer-taken",
        _SOURCE + "relay/targetclient.py",
        "            != request.id\n",
        '            == ""\n',
        ("tests/platform/test_lateanswers.py",),
    ),
    Plant(
        "stop-cuts-open-requests",
        _SOURCE + "edge/shutdownschedule.py",
        "now_ms >= self._earliest_exit_ms and is_idle",
        "True",
        ("tests/platform/test_hosts.py", "tests/platform/test_pipelining.py"),
    ),
    Plant(
        "stopping-host-takes-long-requests",
        _SOURCE + "relay/admission.py",
        "if deadline_ms > self._exits_at_ms:",
        "if now_ms > self._exits_at_ms:",
        ("tests/relay", "tests/platform/test_hosts.py"),
    ),
    Plant(
        "removed-target-returns",
        _SOURCE + "replica/replica.py",
        "if known is not None and known.revision >= received.revision:",
        "if False:",
        ("tests/replica",),
    ),
    Plant(
        "lost-answer-called-not-run",
        _SOURCE + "relay/targetclient.py",
        "            self._run_evidence.mark_sent()\n",
        "            pass\n",
        ("tests/platform/test_targetfailures.py",),
    ),
    Plant(
        "silence-ends-an-attempt",
        _SOURCE + "relay/targetclient.py",
        '            "read": None,\n',
        '            "read": 0.2,\n',
        ("tests/platform/test_pipelining.py",),
    ),
    Plant(
        "endless-body-passed-on",
        _SOURCE + "relay/bodyrest.py",
        "        if remaining_ms > 0:\n",
        "        if True:\n            remaining_ms = 30_000.0\n",
        ("tests/platform/test_endlessanswers.py",),
    ),
    Plant(
        "order-read-ahead-of-its-turn",
        _SOURCE + "relay/application.py",
        "if not request.can_repeat and not turn.has_come:",
        "if False:",
        ("tests/platform/test_pipelining.py",),
    ),
    Plant(
        "implausible-member-taken",
        _SOURCE + "fleet/membership.py",
        "if not member.is_plausible or member.zone not in self._zones:",
        "if False:",
        ("tests/edge/test_malformedmessages.py",),
    ),
    Plant(
        "restarted-host-has-full-retry-budget",
        _SOURCE + "retry/serviceretrybudgets.py",
        "self._capacity_tokens if self._starts_full else 0.0",
        "self._capacity_tokens",
        ("tests/retry",),
    ),
    Plant(
        "deadly-request-not-quarantined",
        _SOURCE + "quarantine/requestquarantine.py",
        "            suspect.crash_count >= CRASH_LIMIT\n",
        "            suspect.crash_count < 0\n",
        ("tests/platform/test_deadlyrequests.py",),
    ),
    Plant(
        "crashes-not-reported",
        _SOURCE + "edge/quarantinereporter.py",
        "if self._quarantine.has_news:",
        "if False:",
        ("tests/platform/test_deadlyrequests.py",),
    ),
    Plant(
        "leaving-target-used",
        _SOURCE + "balance/targetnotices.py",
        "return known is not None and known.is_leaving",
        "return False",
        ("tests/platform/test_targetnotices.py",),
    ),
    Plant(
        "pause-ignored",
        _SOURCE + "balance/targetnotices.py",
        "return max(0.0, known.paused_until_ms - now_ms)",
        "return 0.0",
        ("tests/platform/test_targetnotices.py",),
    ),
    Plant(
        "host-without-path-named-to-callers",
        _SOURCE + "fleet/membership.py",
        "[member for member in ready if member.has_target_path]",
        "ready",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "host-without-path-serves-alone",
        _SOURCE + "relay/directforwarder.py",
        "return self._path_monitor.is_lost and self._has_peer_with_path()",
        "return False",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "suspicions-kept-with-the-path-back",
        _SOURCE + "edge/hostcomponents.py",
        "self._balancer.forget_suspicions(now_ms)",
        "pass",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "closed-connection-taken-for-a-crash",
        _SOURCE + "relay/targetclient.py",
        "result.has_crashed_target = await self._is_down(target)",
        "result.has_crashed_target = True",
        ("tests/platform/test_deadlyrequests.py",),
    ),
    Plant(
        "broken-path-taken-for-a-crash",
        _SOURCE + "relay/targetclient.py",
        "return await self._path_probe.connects_to_any()",
        "return True",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "sent-look-ups-left-in-a-broken-path",
        _SOURCE + "relay/directforwarder.py",
        "(is_silent and request.attempts_left > 0)",
        "False",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "relay-beyond-the-retry-budget",
        _SOURCE + "relay/relayingforwarder.py",
        ").try_take_token()",
        ") is not None",
        ("tests/relay/test_peerrelay.py",),
    ),
    Plant(
        "relay-beyond-the-attempts-left",
        _SOURCE + "relay/application.py",
        "route.max_attempts, head.attempts_left or route.max_attempts",
        "route.max_attempts, route.max_attempts",
        ("tests/platform/test_pathloss.py",),
    ),
    Plant(
        "order-relayed-to-a-second-peer",
        _SOURCE + "relay/peerrelay.py",
        "return may_repeat and request.attempts_left > 0",
        "return request.attempts_left > 0",
        ("tests/relay/test_relayrounds.py",),
    ),
    Plant(
        "missing-answers-not-noticed",
        _SOURCE + "relay/pathmonitor.py",
        "missing_answers >= _MISSING_ANSWER_LIMIT",
        "False",
        ("tests/relay/test_pathmonitor.py",),
    ),
)


def main() -> int:
    """Try the plants; return 1 unless all are found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", nargs="*", default=[])
    given = parser.parse_args()
    chosen = [
        plant
        for plant in _PLANTS
        if not given.only or plant.name in given.only
    ]
    found_count = 0
    for plant in chosen:
        is_found = _is_found(plant)
        found_count += is_found
        print(f"{'found' if is_found else 'MISSED'}  {plant.name}", flush=True)
    print(f"{len(chosen)} plants tried, {found_count} found")
    return 0 if found_count == len(chosen) else 1


def _is_found(plant: Plant) -> bool:
    """Return whether the tests fail with the fault and pass without it."""
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory)
        for name in _COPIED:
            source = _ROOT / name
            if source.is_dir():
                shutil.copytree(
                    source,
                    copy / name,
                    ignore=shutil.ignore_patterns("__pycache__"),
                )
            else:
                shutil.copy(source, copy / name)
        edited = copy / plant.path
        text = edited.read_text(encoding="utf-8")
        if text.count(plant.old) != 1:
            raise ValueError(f"{plant.name}: the text to replace is not there")
        edited.write_text(text.replace(plant.old, plant.new), encoding="utf-8")
        completed = subprocess.run(  # noqa: S603
            [sys.executable, "-m", "pytest", "-x", *plant.tests],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": f"{copy}/src:{copy}"},
            capture_output=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        if completed.returncode not in _TEST_STATUSES:
            raise RuntimeError(completed.stdout.decode()[-2_000:])
        return completed.returncode == _TESTS_FAILED


if __name__ == "__main__":
    sys.exit(main())
