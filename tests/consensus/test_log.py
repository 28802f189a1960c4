"""The log in memory."""

import random

from banyanshore.consensus.log import Log, Snapshot
from banyanshore.consensus.messages import Entry, EntryKind, Members


def test_size_is_that_of_the_entries_after_the_snapshot():
    source = random.Random(3)
    log = Log()
    for _ in range(500):
        step = source.random()
        if step < 0.7:
            data = bytes(source.randrange(50))
            log.append(Entry(log.last_index + 1, 1, int(EntryKind.COMMAND), data))
        elif step < 0.85 and log.last_index > log.snapshot.last_index:
            log.truncate_from(source.randint(log.first_index, log.last_index))
        else:
            index = source.randint(log.snapshot.last_index, log.last_index)
            log.compact(Snapshot(index, log.term_at(index), Members(()), b""))
        entries = [log.get(i) for i in range(log.first_index, log.last_index + 1)]
        assert log.data_bytes == sum(len(entry.data) for entry in entries)
    assert log.snapshot.last_index
