"""Shared types: identifiers, enumerations, errors, refusals and leases."""

from pomeloward.model.answerrule import ANSWER_RULES as ANSWER_RULES
from pomeloward.model.answerrule import AnswerRule as AnswerRule
from pomeloward.model.clock import now_ms as now_ms
from pomeloward.model.endpoint import is_endpoint as is_endpoint
from pomeloward.model.errorkind import ErrorKind as ErrorKind
from pomeloward.model.errors import ConfigurationError as ConfigurationError
from pomeloward.model.errors import PeerProtocolError as PeerProtocolError
from pomeloward.model.errors import PeerUnavailable as PeerUnavailable
from pomeloward.model.errors import PlatformUnavailable as PlatformUnavailable
from pomeloward.model.errors import PomelowardError as PomelowardError
from pomeloward.model.errors import SettingsError as SettingsError
from pomeloward.model.errors import SheetError as SheetError
from pomeloward.model.errors import (
    StaleConfigurationError as StaleConfigurationError,
)
from pomeloward.model.hoststate import HostState as HostState
from pomeloward.model.ids import Epoch as Epoch
from pomeloward.model.ids import HostId as HostId
from pomeloward.model.ids import Incarnation as Incarnation
from pomeloward.model.ids import MAX_VERSION_DIGITS as MAX_VERSION_DIGITS
from pomeloward.model.ids import PartitionId as PartitionId
from pomeloward.model.ids import RegionId as RegionId
from pomeloward.model.ids import RequestFingerprint as RequestFingerprint
from pomeloward.model.ids import RequestId as RequestId
from pomeloward.model.ids import RouteId as RouteId
from pomeloward.model.ids import ServiceId as ServiceId
from pomeloward.model.ids import SiteId as SiteId
from pomeloward.model.ids import TargetId as TargetId
from pomeloward.model.ids import TeamId as TeamId
from pomeloward.model.ids import Version as Version
from pomeloward.model.ids import ZoneId as ZoneId
from pomeloward.model.lease import Lease as Lease
from pomeloward.model.lease import MAX_DRIFT_RATIO as MAX_DRIFT_RATIO
from pomeloward.model.lease import outstanding_until_ms as outstanding_until_ms
from pomeloward.model.notrunproof import NotRunProof as NotRunProof
from pomeloward.model.notrunproof import NotRunReason as NotRunReason
from pomeloward.model.refusal import Refusal as Refusal
from pomeloward.model.runstate import RunState as RunState
