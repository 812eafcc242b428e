"""Fleet-wide rate limits: token buckets of portions, and loans."""
