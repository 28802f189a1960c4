"""Budget of the memory in which answers are held before they are passed on.

Load pattern: a faulty target sends answers without end, to all requests that it has at
a time; or callers read slowly, and their targets cut off answers that stay unread. A
faulty target exhausts its own share, and the answers of others are held as before. When
slow callers exhaust the budget, the answers that hold most are held up first, and those
that hold least go on first.
"""

# Part of the memory of a process in which it holds answers. Buffers of the parser and
# of the connections take about as much again.
MEMORY_FRACTION = 1 / 16
# Part of the budget that the answers of one target may take.
TARGET_FRACTION = 1 / 8


class AnswerMemory:
    """Bytes held of the answers of each target, within a budget.

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
        # The answers that wait for room.
        self._waiting = set()
        self.held_bytes = 0

    def open(self, target):
        """Return the :class:`AnswerShare` of one answer of a target."""
        return AnswerShare(self, target)

    def free_bytes(self, target):
        """Return the bytes that answers of a target may hold in addition."""
        free = self._share - self._held_by_target.get(target, 0)
        return min(free, self._budget - self.held_bytes)

    def try_hold(self, target, size):
        """Record more bytes held for a target; return whether there is room for them.

        :param target: id of the target.
        """
        if size > self.free_bytes(target):
            return False
        self.hold(target, size)
        return True

    def hold(self, target, size):
        """Record more bytes held for a target."""
        self._held_by_target[target] = self._held_by_target.get(target, 0) + size
        self.held_bytes += size
        self._on_change(self.held_bytes)

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
        self._wake_waiting()

    def wait(self, share):
        """Call the ``wake`` of a share once there is room for it, before larger ones.

        :param share: the :class:`AnswerShare`.
        """
        self._waiting.add(share)

    def stop_waiting(self, share):
        """Forget that a share waits."""
        self._waiting.discard(share)

    def _wake_waiting(self):
        """Wake those for which there is room, beside what the others get."""
        promised = 0
        for share in sorted(self._waiting, key=lambda share: share.held_bytes):
            if share.has_room(share.wanted_bytes + promised):
                promised += share.wanted_bytes
                self._waiting.discard(share)
                share.wake()


class AnswerShare:
    """What is held of one answer.

    :param memory: the :class:`AnswerMemory`.
    :param target: id of its target.
    :ivar held_bytes: bytes that are held of it.
    :ivar wanted_bytes: bytes that it waits for.
    :ivar wake: called when there is room, see :meth:`AnswerMemory.wait`.

    >>> memory = AnswerMemory(1024)
    >>> large, small = memory.open("a"), memory.open("a")
    >>> large.try_hold(5), large.has_room(1), small.has_room(3)
    (True, False, True)
    """

    def __init__(self, memory, target):
        self._memory = memory
        self._target = target
        self.held_bytes = 0
        self.wanted_bytes = 0
        self.wake = lambda: None

    def has_room(self, size):
        """Return whether the answer may be read ahead of its caller by some bytes.

        It may hold no more than what is free beside it. So the answers that hold most
        are held up first, and one that begins finds room.
        """
        return self.held_bytes + size <= self._memory.free_bytes(self._target)

    def try_hold(self, size):
        """Record more bytes; return whether there is room for them."""
        if not self._memory.try_hold(self._target, size):
            return False
        self.held_bytes += size
        return True

    def hold(self, size):
        """Record more bytes, for which :meth:`has_room` or the caller made room."""
        self._memory.hold(self._target, size)
        self.held_bytes += size

    def release(self, size):
        """Record that bytes are no longer held."""
        self.held_bytes -= size
        self._memory.release(self._target, size)

    def close(self):
        """Release everything."""
        self._memory.stop_waiting(self)
        self.release(self.held_bytes)

    def start_waiting(self, size):
        """Have :attr:`wake` called once there is room for some bytes."""
        self.wanted_bytes = size
        self._memory.wait(self)
