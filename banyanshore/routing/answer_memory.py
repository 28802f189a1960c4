"""Budget of the memory in which answers are held before they are passed on."""

# Part of the memory of a process in which it holds answers. Buffers of the parser and
# of the connections take about as much again.
MEMORY_FRACTION = 1 / 16
# Part of the budget that the answers of one target may take.
TARGET_FRACTION = 1 / 8


class AnswerMemory:
    """Bytes held of the answers of each target, within a budget.

    Load pattern: a faulty target sends answers without end, to all requests that it has
    at a time. It exhausts its own share, and the answers of others are held as before.

    :param memory_bytes: memory that the process may use.
    :param on_change: called with the bytes that are held, to count them in the account
        of the process.

    >>> memory = AnswerMemory(1024)
    >>> memory.try_hold("a", 8), memory.try_hold("a", 1), memory.try_hold("b", 8)
    (True, False, True)
    >>> memory.release("a", 8)
    >>> memory.try_hold("a", 1), memory.held_bytes
    (True, 9)
    """

    def __init__(self, memory_bytes, on_change=lambda held_bytes: None):
        self._on_change = on_change
        self._budget = int(MEMORY_FRACTION * memory_bytes)
        self._share = int(TARGET_FRACTION * self._budget)
        self._held_by_target = {}
        self.held_bytes = 0

    def try_hold(self, target, size):
        """Record more bytes held for a target; return whether there is room for them.

        :param target: id of the target.
        """
        held = self._held_by_target.get(target, 0)
        if held + size > self._share or self.held_bytes + size > self._budget:
            return False
        self._held_by_target[target] = held + size
        self.held_bytes += size
        self._on_change(self.held_bytes)
        return True

    def release(self, target, size):
        """Record that bytes of a target are no longer held."""
        if not size:
            return
        self.held_bytes -= size
        held = self._held_by_target[target] - size
        if held:
            self._held_by_target[target] = held
        else:
            del self._held_by_target[target]
        self._on_change(self.held_bytes)
