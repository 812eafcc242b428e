"""The composition root: builds, runs and stops the parts of a host."""

from pomeloward.gateway.gateway import Gateway as Gateway
