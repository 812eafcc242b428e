"""Fleet-wide rate limits: token buckets of portions, and loans."""

from pomeloward.budget.borrower import Borrower as Borrower
from pomeloward.budget.bucket import Bucket as Bucket
from pomeloward.budget.client import BudgetClient as BudgetClient
from pomeloward.budget.directory import Directory as Directory
from pomeloward.budget.lender import Lender as Lender
from pomeloward.budget.portion import Portion as Portion
from pomeloward.budget.portion import portions_of as portions_of
from pomeloward.budget.shell import LenderShell as LenderShell
