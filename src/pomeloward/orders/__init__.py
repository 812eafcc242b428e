"""Claims of orders: each order key runs at most once."""

from pomeloward.orders.caller import OrderCaller as OrderCaller
from pomeloward.orders.claim import Claim as Claim
from pomeloward.orders.client import OrderClient as OrderClient
from pomeloward.orders.electorates import Electorates as Electorates
from pomeloward.orders.ledger import Ledger as Ledger
from pomeloward.orders.orderid import OrderIds as OrderIds
from pomeloward.orders.recordedanswer import RecordedAnswer as RecordedAnswer
from pomeloward.orders.recovery import Recovery as Recovery
from pomeloward.orders.shell import OrderShell as OrderShell
from pomeloward.orders.witness import Witness as Witness
