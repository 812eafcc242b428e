"""The configuration: records, validation, versions and spreading."""

from pomeloward.catalog.change import Change as Change
from pomeloward.catalog.change import Deletion as Deletion
from pomeloward.catalog.change import encode_change as encode_change
from pomeloward.catalog.configuration import Configuration as Configuration
from pomeloward.catalog.contacts import contacts_of as contacts_of
from pomeloward.catalog.contacts import push_targets as push_targets
from pomeloward.catalog.contacts import zones_of_region as zones_of_region
from pomeloward.catalog.difference import (
    differences_between as differences_between,
)
from pomeloward.catalog.kind import Kind as Kind
from pomeloward.catalog.kind import kind_of as kind_of
from pomeloward.catalog.kind import name_of as name_of
from pomeloward.catalog.published import parse_file as parse_file
from pomeloward.catalog.published import read_published as read_published
from pomeloward.catalog.records import Host as Host
from pomeloward.catalog.records import Key as Key
from pomeloward.catalog.records import Record as Record
from pomeloward.catalog.records import Region as Region
from pomeloward.catalog.records import Roster as Roster
from pomeloward.catalog.records import Route as Route
from pomeloward.catalog.records import RouteAccess as RouteAccess
from pomeloward.catalog.records import Service as Service
from pomeloward.catalog.records import SiteShare as SiteShare
from pomeloward.catalog.records import Target as Target
from pomeloward.catalog.records import Team as Team
from pomeloward.catalog.records import Zone as Zone
from pomeloward.catalog.sheet import read_sheet as read_sheet
from pomeloward.catalog.sheetplan import PlannedChange as PlannedChange
from pomeloward.catalog.sheetplan import SheetPlan as SheetPlan
from pomeloward.catalog.sheetplan import when as when
from pomeloward.catalog.shell import Catalog as Catalog
from pomeloward.catalog.snapshot import decode_shards as decode_shards
from pomeloward.catalog.snapshot import encode_shards as encode_shards
from pomeloward.catalog.spreader import Spreader as Spreader
from pomeloward.catalog.view import View as View
