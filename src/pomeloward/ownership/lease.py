"""Times of the leases of partitions."""

from pomeloward import model

LEASE_MS = 3_000.0
# Two renewals may be lost before a lease ends.
RENEW_MS = 1_000.0
# How long a voter keeps a released partition for the named successor; a
# hand-over takes a few round trips.
RESERVE_MS = 1_000.0
# A voter's word, at most one lease old: from its start on, a restarted voter
# grants nothing for as long as a vote it forgot can be in use.
SILENCE_MS = model.outstanding_until_ms(0.0, LEASE_MS)
