"""Exceptions of the package; all derive from one base."""


class PomelowardError(Exception):
    """Base of every exception that the package raises."""


class SettingsError(PomelowardError):
    """A setting is missing or wrong; the message names the field."""


class ConfigurationError(PomelowardError):
    """A configuration or change breaks a rule and is rejected whole."""


class StaleConfigurationError(ConfigurationError):
    """A configuration is older than the one in force."""


class SheetError(PomelowardError):
    """A morning sheet breaks a rule; the message names line and column."""


class PeerUnavailable(PomelowardError):
    """A peer did not answer in time or cannot be reached."""


class PeerProtocolError(PomelowardError):
    """A peer sent a frame that is malformed, oversized or not allowed."""


class PlatformUnavailable(PomelowardError):
    """The platform's configuration service did not answer."""
