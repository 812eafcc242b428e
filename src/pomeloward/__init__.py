"""A proxy fleet for targets with gray failures."""

from pomeloward.model import PomelowardError as PomelowardError
from pomeloward.settings import load as load_settings
from pomeloward.settings import Settings as Settings

__all__ = ["PomelowardError", "Settings", "load_settings"]
