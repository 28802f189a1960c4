"""Messages to gateways about targets, from loaders and from other gateways."""

import math

from banyanshore.transport.codec import message


def supersedes(item, known):
    """Return whether an item is newer than the latest known one of the same sender.

    Incarnations are tested for equality, not compared: the clock of a machine may have
    been set back before its process restarted.

    :param known: the latest known item, or ``None``.
    """
    if known is None or item.incarnation != known.incarnation:
        return True
    return item.sequence > known.sequence


@message(109)
class LoadReport:
    """Report the current load of a target.

    :param address: HTTP address of the target.
    :param sequence: increases with each report of a loader.
    :param active: requests that the target is processing.
    :param queued: requests that wait at the target.
    :param pace: factor on the processing time, above 1 if the target is slow.
    :param is_loading: whether the target loads weights, or is about to.
    :param ready_in: seconds until the target is expected to serve the version that it
        should, ``inf`` if unknown.
    :param memory_used: part of its memory for requests that is in use, rounded up; 0 if
        unknown.
    """

    address: str
    incarnation: int
    sequence: int
    model: str
    model_version: int
    end_layer: int
    active: int
    queued: int
    pace: float = 1.0
    is_loading: bool = False
    ready_in: float = math.inf
    memory_used: float = 0.0


@message(112)
class PlacementNotice:
    """Notify other gateways of a request that was sent to a target.

    :param address: HTTP address of the target.
    :param seconds: time that the target needs to process the prompt; negative if it did
        not run a request that was announced before.
    :param data_centre: data centre of the target.
    :param sender: gateway that sent the request.
    :param incarnation: identifies one run of the sender's process.
    :param sequence: increases with each notice of that incarnation.
    :param tokens: those that the request is expected to hold in the target's memory at
        its end; negative likewise.
    """

    address: str
    seconds: float
    data_centre: str = ""
    sender: str = ""
    incarnation: int = 0
    sequence: int = 0
    tokens: int = 0


@message(114)
class CrashNotice:
    """Notify other gateways of a request whose target crashed.

    Times are sent as ages, since the clocks of instances differ.

    :param fingerprint: digest of the request.
    :param address: HTTP address of the target; empty in notices of earlier builds on an
        answer to the request, which don't tell whose answer it was.
    :param incarnation: incarnation of the target that crashed.
    :param offered_seconds_ago: time since the request was offered to the target.
    :param crashed_seconds_ago: time since the target crashed.
    """

    fingerprint: bytes
    address: str = ""
    incarnation: int = 0
    offered_seconds_ago: float = 0.0
    crashed_seconds_ago: float = 0.0


@message(116)
class TargetAnswered:
    """Notify other gateways that a target answered.

    It was presumed crashed, or the answered request is suspected.

    :param address: HTTP address of the target.
    :param incarnation: incarnation of the target that answered.
    :param offered_seconds_ago: time since the answered request was offered.
    :param fingerprint: digest of the request, if it was answered completely and is
        suspected to crash its targets.
    """

    address: str
    incarnation: int
    offered_seconds_ago: float
    fingerprint: bytes = b""


@message(117)
class UnbegunLossNotice:
    """Notify other gateways of what a gateway lost at a crash before it had begun.

    :param address: HTTP address of the target that crashed.
    :param incarnation: incarnation of the target that crashed.
    :param lost_seconds_ago: time since the answers were lost.
    :param parts: digests of the parts of the prompts of these requests.
    """

    address: str
    incarnation: int
    lost_seconds_ago: float
    parts: tuple


@message(118)
class BegunAnswersReport:
    """Report how many answers have begun, by suspected part of the prompt.

    :param sender: name of the gateway.
    :param incarnation: identifies one run of its process.
    :param sequence: number of the report.
    :param counts: pairs of digest and count.
    """

    sender: str
    incarnation: int
    sequence: int
    counts: tuple


@message(119)
class PartNotice:
    """Notify other gateways of a part of prompts that is refused, or cleared.

    :param part: digest of the part.
    :param crashes: number of crashes that count against it; 0 once it is cleared.
    :param lost_seconds_ago: time since the last of these crashes.
    :param base_rate: share of other requests that were lost before they began.
    """

    part: bytes
    crashes: int
    lost_seconds_ago: float
    base_rate: float = 0.0


@message(120)
class LimitNotice:
    """Notify other gateways of the limit that a target states.

    :param target: id of the target.
    :param incarnation: incarnation of the target.
    :param per_second: requests per second that it takes from all gateways, ``inf`` if
        it has no limit any more.
    :param offered_seconds_ago: time since the answered request was offered.
    :param stated_seconds_ago: time since the head of its answer arrived.
    """

    target: str
    incarnation: int
    per_second: float
    offered_seconds_ago: float
    stated_seconds_ago: float


@message(115)
class UpdateBatch:
    """Carry a batch of updates.

    :param items: :class:`LoadReport`, :class:`PlacementNotice`, :class:`CrashNotice`,
        :class:`TargetAnswered`, :class:`UnbegunLossNotice`,
        :class:`BegunAnswersReport`, :class:`PartNotice` and :class:`LimitNotice`.
    :param is_for_hub: whether the receiver forwards the items in its data centre.
    """

    items: tuple
    is_for_hub: bool = False
