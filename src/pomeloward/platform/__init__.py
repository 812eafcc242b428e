"""Translates between pomeloward and the users' platform.

Header names, paths, keys and field names of the platform appear only here;
``tests/platform/test_platformnames.py`` checks that.
"""

from pomeloward.platform.addresslookup import (
    AddressLookupFormat as AddressLookupFormat,
)
from pomeloward.platform.httpconventions import (
    HTTP_CONVENTIONS as HTTP_CONVENTIONS,
)
from pomeloward.platform.httpstoreclient import (
    HttpStoreClient as HttpStoreClient,
)
from pomeloward.platform.settingsfile import load_settings as load_settings
from pomeloward.platform.settingsfile import (
    SETTINGS_PATH_VARIABLE as SETTINGS_PATH_VARIABLE,
)
from pomeloward.platform.settingsfile import SettingsFile as SettingsFile
