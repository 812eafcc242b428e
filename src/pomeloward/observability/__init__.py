"""Metrics, decision journal, event log and error-budget burn rates."""

from pomeloward.observability.burnrate import burn_rates as burn_rates
from pomeloward.observability.burnrate import BurnRate as BurnRate
from pomeloward.observability.burnratereport import (
    BurnRateReport as BurnRateReport,
)
from pomeloward.observability.decision import Decision as Decision
from pomeloward.observability.decisionjournal import (
    DecisionJournal as DecisionJournal,
)
from pomeloward.observability.eventlogger import (
    configure_log_output as configure_log_output,
)
from pomeloward.observability.eventlogger import EventLogger as EventLogger
from pomeloward.observability.loggableinteger import (
    loggable_integer as loggable_integer,
)
from pomeloward.observability.mergedlatency import (
    MergedLatency as MergedLatency,
)
from pomeloward.observability.metrics import Metrics as Metrics
from pomeloward.observability.nonblockinglogwriter import (
    NonblockingLogWriter as NonblockingLogWriter,
)
from pomeloward.observability.outcomecounter import (
    OutcomeCounter as OutcomeCounter,
)
from pomeloward.observability.outcomehistory import (
    OutcomeHistory as OutcomeHistory,
)
from pomeloward.observability.outcomesample import (
    OutcomeSample as OutcomeSample,
)
from pomeloward.observability.outcomesample import (
    OutcomeSeries as OutcomeSeries,
)
from pomeloward.observability.windowpair import (
    scaled_window_pairs as scaled_window_pairs,
)
