"""Tests of where voters and owners are put."""

import pytest

from pomeloward.ownership import placement


@pytest.mark.parametrize("zones", [3, 4, 5])
def test_the_loss_of_an_owner_with_its_zone_leaves_five_voters(zones):
    """Guards against order histories that end with one zone.

    A successor reads 5 of 7 voters; the owner is in the preferred zone.
    """
    hosts = {f"h{n:02}": f"z{n % zones}" for n in range(40)}
    placed = placement.Placement(hosts)
    for number in range(200):
        preferred = placed.preferred_zone(number)
        voters = placed.voters(number)
        assert len(set(voters)) == 7
        in_zone = [one for one in voters if hosts[one] == preferred]
        assert 1 <= len(in_zone) <= 2
        left = {hosts[one] for one in voters}
        counts = [sum(hosts[one] == zone for one in voters) for zone in left]
        assert max(counts) <= 3
