"""Exceptions of pomeloward; all derive from ``PomelowardError``."""


class PomelowardError(Exception):
    """Base class of the exceptions that pomeloward defines."""


class SettingsError(PomelowardError):
    """A setting is missing or invalid; the message names the field."""


class ConfigurationError(PomelowardError):
    """A configuration or change is invalid and is rejected as a whole."""


class StaleConfigurationError(ConfigurationError):
    """A configuration version is not newer than the active one."""


class SheetError(PomelowardError):
    """A CSV sheet of planned configuration changes is invalid.

    The message names the line and column.
    """


class PeerUnavailable(PomelowardError):
    """A peer did not answer in time or cannot be reached."""


class PeerProtocolError(PomelowardError):
    """A peer sent a frame that is malformed, oversized or not allowed."""


class PlatformUnavailable(PomelowardError):
    """The platform's configuration service did not answer."""
