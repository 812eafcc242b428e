"""Requests that wait for a free slot."""

from pomeloward.requestqueue.queuedrequest import (
    QueuedRequest as QueuedRequest,
)
from pomeloward.requestqueue.requestqueue import RequestQueue as RequestQueue
