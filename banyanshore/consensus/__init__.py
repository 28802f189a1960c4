"""The replicated log, an implementation of the Raft consensus algorithm.

References: Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), and Ongaro's dissertation for pre-vote, leader lease, read index and
single-server membership changes.
"""

from banyanshore.consensus.messages import Entry, EntryKind, Members
from banyanshore.consensus.raft import Raft, RaftOptions, Role
from banyanshore.consensus.storage import Storage, StorageError

__all__ = [
    "Entry",
    "EntryKind",
    "Members",
    "Raft",
    "RaftOptions",
    "Role",
    "Storage",
    "StorageError",
]
