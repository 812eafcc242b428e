"""Leased ownership of partitions, granted by voters."""

from pomeloward.ownership.ownerlookup import OwnerLookup as OwnerLookup
from pomeloward.ownership.ownership import Ownership as Ownership
from pomeloward.ownership.partitions import make_partition as make_partition
from pomeloward.ownership.partitions import partition_of as partition_of
from pomeloward.ownership.partitions import (
    portion_partition as portion_partition,
)
from pomeloward.ownership.partitions import PORTIONS as PORTIONS
from pomeloward.ownership.partitions import split_partition as split_partition
from pomeloward.ownership.partitionuser import PartitionUser as PartitionUser
from pomeloward.ownership.shell import LeasedOwnership as LeasedOwnership
