"""Starts a host with a fault planted in it, to prove a check."""

import os
import pathlib
import sys

import anyio

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import policy
from pomeloward import quarantine
from pomeloward import relay
from pomeloward import replica
from pomeloward.balance import targetnotices
from pomeloward.commands import edge
from pomeloward.relay import targetresponse
from pomeloward.wire import socketstream


def plant(name):
    """Break one promise."""
    _PLANTS[name]()


def _cut_where_told(path):
    """Let new connections hang to the ports that a file lists.

    A proxy can't do this: connections to it succeed before it sees them.
    """
    probe, connect = anyio.connect_tcp, socketstream.connect

    async def hang_if_cut(port):
        if path.exists() and str(port) in path.read_text().split():
            await anyio.sleep_forever()

    async def probe_unless_cut(remote_host, remote_port, **fields):
        await hang_if_cut(remote_port)
        return await probe(remote_host, remote_port, **fields)

    async def connect_unless_cut(host, port, local_address):
        await hang_if_cut(port)
        return await connect(host, port, local_address)

    anyio.connect_tcp = probe_unless_cut
    socketstream.connect = connect_unless_cut


def _leaving():
    targetnotices.TargetNotices.is_leaving = lambda self, target_id: False


def _pause():
    targetnotices.TargetNotices.pause_ms = lambda self, target_id, now_ms: 0.0


def _deadly():
    quarantine.RequestQuarantine.remaining_ms = lambda self, name, now_ms: 0.0


def _path():
    relay.PathMonitor.is_check_due = lambda self, now_ms: False


def _twice():
    relay.AdmittedRequest.can_repeat = property(lambda request: True)


def _drain():
    replica.Target.is_leaving = False
    configure = balance.Balancer.update_targets

    def ignoring(self, targets, zones_out, now_ms):
        kept = [_as_ready(one) for one in targets]
        configure(self, kept, zones_out, now_ms)

    balance.Balancer.update_targets = ignoring


def _as_ready(target):
    fields = {
        name: getattr(target, name)
        for name in ("id", "service", "address", "zone", "slots")
    }
    return replica.Target(**fields)


def _key():
    known = {}
    find = policy.PolicyIndex.find_team

    def remembering(self, digest):
        found = find(self, digest)
        return known.setdefault(digest, found) if found else known.get(digest)

    policy.PolicyIndex.find_team = remembering


def _old():
    first = []
    find = policy.PolicyIndex.find_route

    def going_back(self, host, path):
        first.append(self)
        index = first[0] if len(first) % 7 == 0 else self
        return find(index, host, path)

    policy.PolicyIndex.find_route = going_back


def _swap():
    last = [b""]
    read = targetresponse.TargetResponse.__init__

    def swapped(self, status, headers, body, rest=None):
        read(self, status, headers, body, rest)
        if status == 200 and len(last[0]) == len(body):
            self.body_start, last[0] = last[0], body
        else:
            last[0] = body

    targetresponse.TargetResponse.__init__ = swapped


def _limit():
    balance.TargetLimits.allows_start = lambda self, target_id, now_ms: True


def _era():
    merge = replica.Replica.merge

    def by_number(self, received):
        newer = []
        for change in received:
            known = self.newest_change(change.key)
            if known is None or replica.number_of(
                known.revision
            ) < replica.number_of(change.revision):
                newer.append(change)
        return merge(self, newer)

    replica.Replica.merge = by_number


_PLANTS = {
    "twice": _twice,
    "drain": _drain,
    "key": _key,
    "old": _old,
    "swap": _swap,
    "limit": _limit,
    "era": _era,
    "leaving": _leaving,
    "pause": _pause,
    "deadly": _deadly,
    "path": _path,
}

if __name__ == "__main__":
    assert dispatch.RunEvidence
    if sys.argv[1] != "none":
        plant(sys.argv[1])
    _cut_where_told(pathlib.Path(os.environ["POMELOWARD_CUT_FILE"]))
    sys.exit(edge.main(sys.argv[2:]))
