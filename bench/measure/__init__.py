"""The users' measures of a running fleet, beside baselines."""
