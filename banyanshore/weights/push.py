"""Whom each chunk is pushed to: deterministic, without I/O.

Load pattern: a new version goes to all instances at once over links that carry one copy
in most of the time there is. Each chunk travels down a tree that all instances work out
alike: from the one that draws it to the first in each data centre that takes it from
here, and in every data centre from one instance to the next. Nobody has to ask, and as
the trees differ from chunk to chunk, all upload about as much as they download.
"""

from dataclasses import dataclass

from banyanshore.transport.codec import message


@message(110)
class ChunkPush:
    """Bring a chunk to an instance that hasn't asked for it."""

    manifest_digest: str
    index: int
    data: bytes


@message(111)
class ChunkTaken:
    """Answer a :class:`ChunkPush`.

    :param is_taken: whether the chunk was right, or was here already.
    :param may_repeat: whether it may be taken when it is sent once more.
    """

    is_taken: bool
    may_repeat: bool = False


@dataclass(frozen=True)
class Child:
    """A place in the tree below an instance.

    :param candidates: instances to push to, each in place of one that doesn't answer.
    :param is_remote: whether it lies in another data centre.
    """

    candidates: tuple
    is_remote: bool


def find_children(placement, instance, data_centre, chunk):
    """Return the :class:`Child` rows below an instance, those far away first.

    :param placement: the :class:`~banyanshore.weights.placement.Placement`.
    :param chunk: digest of the chunk in hexadecimal.
    """
    chain = placement.ordered(data_centre, chunk)
    if instance not in chain:
        return []
    position = chain.index(instance)
    children = []
    if position == 0:
        for other in placement.data_centres():
            if other != data_centre and placement.upstream(other, chunk) == data_centre:
                heads = tuple(placement.ordered(other, chunk))
                children.append(Child(heads, True))
    following = tuple(chain[position + 1 :])
    if following:
        children.append(Child(following, False))
    return children
