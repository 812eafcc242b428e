"""Queue of the requests that wait for a free slot of a service."""

from pomeloward.requestqueue.queuedrequest import (
    QueuedRequest as QueuedRequest,
)
from pomeloward.requestqueue.requestqueue import RequestQueue as RequestQueue
