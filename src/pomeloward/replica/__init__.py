"""Each host's copy of what the platform publishes, kept current."""

from pomeloward.replica.change import Change as Change
from pomeloward.replica.change import PolicyChange as PolicyChange
from pomeloward.replica.change import TargetChange as TargetChange
from pomeloward.replica.change import TargetRemoval as TargetRemoval
from pomeloward.replica.change import ZoneChange as ZoneChange
from pomeloward.replica.messages import ChangeNotice as ChangeNotice
from pomeloward.replica.messages import PolicyOffer as PolicyOffer
from pomeloward.replica.messages import PolicyPart as PolicyPart
from pomeloward.replica.messages import PolicyPartRequest as PolicyPartRequest
from pomeloward.replica.messages import SnapshotRequest as SnapshotRequest
from pomeloward.replica.messages import SnapshotResponse as SnapshotResponse
from pomeloward.replica.readresult import ReadResult as ReadResult
from pomeloward.replica.readschedule import ReadSchedule as ReadSchedule
from pomeloward.replica.replica import Replica as Replica
from pomeloward.replica.replicator import Replicator as Replicator
from pomeloward.replica.revision import era_of as era_of
from pomeloward.replica.revision import make_revision as make_revision
from pomeloward.replica.revision import number_of as number_of
from pomeloward.replica.storeclient import HistoryGone as HistoryGone
from pomeloward.replica.storeclient import StoreClient as StoreClient
from pomeloward.replica.storepoller import StorePoller as StorePoller
from pomeloward.replica.target import Target as Target
