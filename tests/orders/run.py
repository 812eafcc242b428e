"""One attempt of an entry host in the state machine."""


class Run:
    """One attempt of an entry host."""

    def __init__(self, order, number, host, asked_ms):
        self.order = order
        self.number = number
        self.host = host
        self.started_ms = self.asked_ms = asked_ms
        self.answer = None
        self.granted_at = None
        self.acks = set()
        self.claim = None
        self.told_not_run = False


async def settle(outcome, answer):
    raise AssertionError("the machine reports outcomes itself")
