"""Fair waiting for slots, deadlines and load shedding."""

from pomeloward.queue.admission import Admission as Admission
from pomeloward.queue.ticket import Ticket as Ticket
