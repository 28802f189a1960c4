"""What gateways learn of targets, from their loaders and from each other."""

from banyanshore.transport.codec import message


def supersedes(item, known):
    """Tell whether an item of news is newer than what is known of its sender.

    Starts are told apart and not compared: the clock of a machine may have been set
    back before its process started again.

    :param known: an earlier item, or ``None``.
    """
    if known is None or item.incarnation != known.incarnation:
        return True
    return item.sequence > known.sequence


@message(109)
class LoadReport:
    """Tell the load of a target as it is now.

    :param address: HTTP address of the target.
    :param sequence: rises with each report of one loader.
    :param active: requests that it works on.
    :param queued: requests that wait there.
    :param pace: factor on the time that its work takes, above 1 if it is slow.
    :param is_loading: whether it loads weights, or is about to.
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


@message(112)
class PlacementNotice:
    """Tell other gateways of a request that was sent to a target.

    :param address: HTTP address of the target.
    :param seconds: time that the target needs to read it.
    :param data_centre: where the target is.
    :param sender: the gateway that has sent the request.
    :param incarnation: tells its starts apart.
    :param sequence: rises with each notice of that start.
    """

    address: str
    seconds: float
    data_centre: str = ""
    sender: str = ""
    incarnation: int = 0
    sequence: int = 0


@message(114)
class CrashNotice:
    """Tell other gateways of a request that was lost with its target, or is cleared.

    Times are ages, since the clocks of instances differ.

    :param fingerprint: digest of the request.
    :param address: HTTP address of the target; empty if the request is cleared.
    :param incarnation: start of the target that ended.
    """

    fingerprint: bytes
    address: str = ""
    incarnation: int = 0
    offered_seconds_ago: float = 0.0
    crashed_seconds_ago: float = 0.0


@message(116)
class TargetAnswered:
    """Tell other gateways that a target has answered which was taken for ended.

    :param address: HTTP address of the target.
    :param incarnation: start of the target that answered.
    :param offered_seconds_ago: age of the request that it answered.
    """

    address: str
    incarnation: int
    offered_seconds_ago: float


@message(115)
class UpdateBatch:
    """Pass on what has been gathered lately.

    :param items: :class:`LoadReport`, :class:`PlacementNotice`, :class:`CrashNotice`
        and :class:`TargetAnswered`.
    :param is_for_hub: whether the receiver is to pass it on in its data centre.
    """

    items: tuple
    is_for_hub: bool = False
