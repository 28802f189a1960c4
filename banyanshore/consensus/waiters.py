"""Callers that wait for log entries and reads."""

from banyanshore.core.exceptions import NotAcceptedError


class Waiters:
    """Waiting callers, by the index of their entry or the context of their read."""

    def __init__(self):
        self._waiter_by_index = {}
        self._read_by_context = {}
        self._next_context = 1

    def add_proposal(self, entry, waiter):
        """Add a caller that waits for an entry.

        A caller that waits for an earlier entry at the same index gets an error.
        """
        # The earlier entry at this index was replaced, so it was not accepted.
        displaced = self._waiter_by_index.pop(entry.index, None)
        if displaced is not None:
            displaced.resolve(error=_superseded_error())
        waiter.term = entry.term
        self._waiter_by_index[entry.index] = waiter

    def add_read(self, read):
        """Add a caller that waits for a read; return the context that identifies it."""
        context = self._next_context
        self._next_context += 1
        self._read_by_context[context] = read
        return context

    def finish_entry(self, entry, outcome):
        """Resolve the waiter of an applied entry, if there is one."""
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.resolve(outcome)
        else:
            waiter.resolve(error=_superseded_error())

    def finish_read(self, read, machine):
        """Resolve the waiter of a read.

        :param read: the :class:`~banyanshore.consensus.types.FinishedRead`.
        """
        pending = self._read_by_context.pop(read.context)
        if read.index < 0:
            error = NotAcceptedError("this instance does not lead a quorum")
            pending.waiter.resolve(error=error)
        else:
            pending.waiter.resolve(pending.result(machine))

    def fail_all(self, error):
        """Resolve all waiters with an error."""
        reads = [read.waiter for read in self._read_by_context.values()]
        for waiter in (*self._waiter_by_index.values(), *reads):
            waiter.resolve(error=error)


def _superseded_error():
    return NotAcceptedError("another leader's entry came first")
