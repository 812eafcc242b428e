"""Interface of what brings a request to a target."""

import typing

import expression

from pomeloward import model
from pomeloward.relay import admittedrequest
from pomeloward.relay import requestlogentry
from pomeloward.relay import targetresponse

ForwardResult = expression.Result[targetresponse.TargetResponse, model.Refusal]


class Forwarding(typing.Protocol):
    """Brings a request to a target in some way."""

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> ForwardResult:
        """Return a target's response, or a refusal.

        The refusal says that the request did not run only if that is
        certain. The attempts are added to ``log_entry``.
        """
