"""Messages between gateways about permits to send to a target within its limit."""

from banyanshore.membership.load_reports import LimitNotice
from banyanshore.transport.codec import message


@message(121)
class PermitRequest:
    """Ask the owner of a target for permits.

    :param limit: the limit of the target that the sender knows.
    :param sender: name of the gateway.
    :param wanted: number of requests that wait for a permit.
    """

    limit: LimitNotice
    sender: str
    wanted: int


@message(122)
class PermitReply:
    """Reply to a :class:`PermitRequest`.

    :param count: permits issued.
    :param retry_seconds: seconds until the next request may succeed.
    :param tokens: permits that were available.
    :param limit: the limit of the target that the owner knows.
    """

    count: int
    retry_seconds: float
    tokens: float
    limit: LimitNotice
