"""Request rate limits of teams that hold over the whole fleet."""

from pomeloward.quota.messages import TeamUsage as TeamUsage
from pomeloward.quota.messages import UsageReport as UsageReport
from pomeloward.quota.teamratelimiter import TeamRateLimiter as TeamRateLimiter
from pomeloward.quota.teamratelimiter import (
    USAGE_REPORT_INTERVAL_MS as USAGE_REPORT_INTERVAL_MS,
)
from pomeloward.quota.tokenbucket import (
    ReplicatedTokenBucket as ReplicatedTokenBucket,
)
from pomeloward.quota.zonereporttracker import (
    ZoneReportTracker as ZoneReportTracker,
)
