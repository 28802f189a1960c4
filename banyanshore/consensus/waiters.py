"""Who waits for which entry of the log, and for which read."""

from banyanshore.core.exceptions import NotAcceptedError


class Waiters:
    """Callers that wait, by the index of their entry or the context of their read."""

    def __init__(self):
        self._waiter_by_index = {}
        self._read_by_context = {}
        self._next_context = 1

    def add_proposal(self, entry, waiter):
        """Let a caller wait for an entry; one that waited for that index is told."""
        # An entry that this one replaced at the same index was not accepted.
        displaced = self._waiter_by_index.pop(entry.index, None)
        if displaced is not None:
            displaced.resolve(error=_came_second())
        waiter.term = entry.term
        self._waiter_by_index[entry.index] = waiter

    def add_read(self, read):
        """Let a caller wait for a read; return the context that names it."""
        context = self._next_context
        self._next_context += 1
        self._read_by_context[context] = read
        return context

    def finish_entry(self, entry, outcome):
        """Tell whoever waits for an entry that was applied."""
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.resolve(outcome)
        else:
            waiter.resolve(error=_came_second())

    def finish_read(self, read, machine):
        """Tell whoever waits for a read.

        :param read: the :class:`~banyanshore.consensus.types.FinishedRead`.
        """
        pending = self._read_by_context.pop(read.context)
        if read.index < 0:
            error = NotAcceptedError("this instance does not lead a quorum")
            pending.waiter.resolve(error=error)
        else:
            pending.waiter.resolve(pending.result(machine))

    def fail_all(self, error):
        """Give all that wait an error."""
        reads = [read.waiter for read in self._read_by_context.values()]
        for waiter in (*self._waiter_by_index.values(), *reads):
            waiter.resolve(error=error)


def _came_second():
    return NotAcceptedError("another leader's entry came first")
