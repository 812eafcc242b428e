"""Settings that host processes read and validate at their start."""

from pomeloward.settings.drainsettings import DrainSettings as DrainSettings
from pomeloward.settings.edgesettings import EdgeSettings as EdgeSettings
from pomeloward.settings.edgesettings import Endpoint as Endpoint
from pomeloward.settings.edgesettings import OperatorBounds as OperatorBounds
from pomeloward.settings.hostsettings import SeedHost as SeedHost
from pomeloward.settings.hostsettings import Settings as Settings
from pomeloward.settings.limits import Limits as Limits
from pomeloward.settings.loader import load as load
from pomeloward.settings.loader import parse_document as parse_document
from pomeloward.settings.logsettings import LogSettings as LogSettings
from pomeloward.settings.reference import render_reference as render_reference
