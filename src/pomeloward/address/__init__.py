"""The answer to which host addresses a caller should use."""

from pomeloward.address.addresses import Address as Address
from pomeloward.address.addresses import AddressAnswer as AddressAnswer
from pomeloward.address.book import AddressBook as AddressBook
