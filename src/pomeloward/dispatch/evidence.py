"""What a host knows about whether a request ran."""

from pomeloward import model


class RunEvidence:
    """Counts the attempts of one request that may have run.

    An attempt counts from the moment before its first byte leaves. It stops
    counting only by a proof.

    Example::

        evidence = RunEvidence()
        evidence.proof  # NotRunProof(NOT_SENT)
        evidence.mark_sent()
        evidence.proof  # None
    """

    def __init__(self) -> None:
        self._open_attempts = 0
        self._last = model.NotRunProof(
            model.NotRunReason.NOT_SENT, "no attempt was sent"
        )

    def mark_sent(self) -> None:
        """Note that an attempt is about to send its first byte."""
        self._open_attempts += 1

    def prove_not_run(self, proof: model.NotRunProof) -> None:
        """Note that a sent attempt certainly did not run."""
        self._open_attempts -= 1
        self._last = proof

    @property
    def open_attempts(self) -> int:
        """The number of attempts that may have run the request."""
        return self._open_attempts

    @property
    def proof(self) -> model.NotRunProof | None:
        """The proof that no attempt ran, None while one may have."""
        return None if self._open_attempts else self._last
