"""Metrics, the journal of decisions, and the log."""

from pomeloward.observe.decision import Decision as Decision
from pomeloward.observe.journal import Journal as Journal
from pomeloward.observe.log import Log as Log
from pomeloward.observe.log import open_log as open_log
from pomeloward.observe.metrics import Metrics as Metrics
