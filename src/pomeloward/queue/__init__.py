"""The fair queue between teams, and load shedding."""
