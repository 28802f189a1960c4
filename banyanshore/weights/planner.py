"""Plan the transfer of one version at one agent: deterministic, without I/O.

Chunks are bits of whole numbers. The rules: draw or import what the placement gives
this agent, take over from agents before it that fail, and fetch the rest from
neighbours, rarest first, from whoever has uploaded least.
"""

import heapq
from itertools import islice

from banyanshore.weights.planner_rows import (
    ORIGIN,
    Assignment,
    Fetch,
    Neighbour,
)

# Failures in a row after which a neighbour's chunks don't count as offered.
FAILING = 2
# Patiences after which the next group is asked for a chunk that nobody sends.
MAX_WAITS = 10


class TransferPlanner:
    """One transfer at one agent.

    :param instance: own name.
    :param data_centre: own data centre.
    :param chunk_digests: digests in hexadecimal, in order.
    :param placement: the :class:`~banyanshore.weights.placement.Placement`.
    :param have: chunks that are verified already, as bits.
    """

    def __init__(
        self,
        instance,
        data_centre,
        chunk_digests,
        placement,
        options,
        random,
        now,
        have=0,
    ):
        self.have = have
        self.uploads = 0
        self.received = 0
        self.neighbour_by_instance = {}
        self.in_flight = {}
        self._instance = instance
        self._data_centre = data_centre
        self._digests = chunk_digests
        self._options = options
        self._random = random
        self._all = (1 << len(chunk_digests)) - 1
        self._assignments = {}
        # Draws in vain since the last chunk from the origin, and when to look again.
        self._vain_draws = 0
        self._draw_again_at = now
        self.set_placement(now, placement)

    @property
    def is_complete(self):
        """Tell whether all chunks are verified here."""
        return self.have == self._all

    def set_placement(self, now, placement):
        """Take the roles that follow from the members that live now."""
        self._placement = placement
        old = self._assignments
        self._assignments = {}
        for index, digest in enumerate(self._digests):
            if self.have >> index & 1:
                continue
            role = placement.role(self._instance, self._data_centre, digest)
            known = old.get(index)
            if known is not None and known.role == role:
                self._assignments[index] = known
            else:
                due_at = now + role.rank * self._options.patience
                self._assignments[index] = Assignment(role, due_at)
        self._due_heap = [
            (row.due_at, index) for index, row in self._assignments.items()
        ]
        heapq.heapify(self._due_heap)
        self._due = {}

    def set_neighbours(self, instances):
        """Keep just these neighbours."""
        self.neighbour_by_instance = {
            name: self.neighbour_by_instance.get(name) or Neighbour()
            for name in instances
        }

    def record_have(self, instance, have, uploads):
        """Take what a neighbour tells of itself."""
        row = self.neighbour_by_instance.get(instance)
        if row is not None:
            row.have = have
            row.uploads = uploads

    def record_received(self, index):
        """Take a chunk whose digest was right."""
        source = self.in_flight.get(index)
        if source == ORIGIN:
            self._vain_draws = 0
        row = self.neighbour_by_instance.get(source)
        if row is not None:
            row.failures = 0
        self._end(index)
        if not self.have >> index & 1:
            self.have |= 1 << index
            self.received += 1
        self._assignments.pop(index, None)
        self._due.pop(index, None)

    def record_failure(self, now, fetch, availability=""):
        """Take a fetch that brought nothing.

        :param availability: what the source said, empty if it said nothing in time.
        """
        self._end(fetch.index, fetch.source)
        row = self.neighbour_by_instance.get(fetch.source)
        if row is not None and availability in ("", "busy"):
            row.failures += availability == ""
            # A busy source would refuse again at once, while others may be idle.
            delay = self._options.busy_delay * min(2**row.failures, 16)
            row.busy_until = now + delay * self._random.uniform(0.5, 1.5)
        if row is not None and availability in ("missing", "queued"):
            row.have &= ~(1 << fetch.index)
        self._postpone(now, fetch, availability)

    def record_corrupt(self, now, fetch):
        """Take a chunk whose digest was wrong; its source is left alone for long."""
        row = self.neighbour_by_instance.get(fetch.source)
        if row is not None:
            row.failures += 4
        self.record_failure(now, fetch)

    def availability(self, index, data_centre=""):
        """Return what to tell an agent that asks for a chunk that isn't here.

        :param data_centre: that of the agent; one that is to bring the chunk here
            itself must not wait for this one.
        """
        assignment = self._assignments.get(index)
        if assignment is None:
            return "missing"
        if assignment.failures >= 2:
            return "failing"
        is_coming = index in self.in_flight
        if data_centre and not is_coming and assignment.role.upstream == data_centre:
            return "missing"
        acts = assignment.role.rank == 0 or is_coming
        return "queued" if acts else "missing"

    def may_upload(self, active):
        """Tell whether a chunk may be sent now.

        :param active: chunks being sent.
        """
        # Those that fetch take from whoever has sent least. A bound on what one agent
        # sends in all would stop agents that hold each other's last chunks.
        return active < self._options.max_uploads

    def tick(self, now):
        """Return the :class:`Fetch` rows to start now."""
        if self.is_complete:
            return []
        fetches = self._bring(now)
        fetches += self._exchange(now)
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def tick_origin_fetches(self, now):
        """Return the draws to start now of all that is missing.

        For the one agent that draws for all others. An origin that is away is asked
        for one chunk at a time, with a pause, until it sends one.
        """
        drawing = sum(source == ORIGIN for source in self.in_flight.values())
        fetches = []
        room = self._options.max_origin_fetches
        if self._vain_draws >= room:
            if now < self._draw_again_at:
                return []
            room = 1
        for index, assignment in self._assignments.items():
            if drawing + len(fetches) >= room:
                break
            is_due = assignment.failures == 0 or assignment.due_at <= now
            if index not in self.in_flight and is_due:
                fetches.append(Fetch(index, ORIGIN))
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def tick_neighbour_fetches(self, now):
        """Return the fetches to start now of what neighbours have."""
        fetches = [] if self.is_complete else self._exchange(now)
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def _bring(self, now):
        while self._due_heap and self._due_heap[0][0] <= now:
            index = heapq.heappop(self._due_heap)[1]
            if index in self._assignments:
                self._due[index] = None
        if not self._due:
            return []
        return self._bring_due(now)

    def _bring_due(self, now):
        fetches = []
        drawing = sum(source == ORIGIN for source in self.in_flight.values())
        peer_fetches = len(self.in_flight) - drawing
        offered = self._offered()
        # In the order in which they fell due, so that none is kept from its turn.
        for index in list(self._due):
            if index in self.in_flight or offered >> index & 1:
                continue
            assignment = self._assignments[index]
            source = self._assignment_source(now, index, assignment)
            if source == ORIGIN:
                if drawing >= self._options.max_origin_fetches:
                    continue
                drawing += 1
            else:
                if peer_fetches >= self._options.max_peer_fetches:
                    continue
                peer_fetches += 1
            fetches.append(Fetch(index, source))
        return fetches

    def _assignment_source(self, now, index, assignment):
        """Return who to ask for a chunk that this agent is to bring in."""
        longest_wait = MAX_WAITS * self._options.patience
        stages = self._iter_stages(index, assignment.role)
        for names in islice(stages, assignment.stage, None):
            alive = [name for name in names if name not in assignment.failed]
            if assignment.asked_since is None:
                assignment.asked_since = now
            if alive and now - assignment.asked_since <= longest_wait:
                return alive[assignment.turn % len(alive)]
            assignment.stage += 1
            assignment.asked_since = None
            assignment.turn = 0
        return ORIGIN

    def _iter_stages(self, index, role):
        """Yield the groups that may have a chunk, in the order in which to ask them.

        The origin comes after all of them: what any other data centre has must not be
        drawn from it again.
        """
        digest = self._digests[index]
        own = self._data_centre
        if role.rank:
            # Those before this agent: one of them may have the chunk by now.
            yield self._placement.holders(own, digest)[: role.rank]
        if role.upstream:
            yield self._placement.holders(role.upstream, digest)
        if role.rank or role.upstream or self._options.asks_other_data_centres:
            yield self._placement.first_holders(own, digest)

    def _is_last_look(self, assignment):
        role = assignment.role
        return assignment.stage == (role.rank > 0) + (role.upstream != "")

    def _postpone(self, now, fetch, availability):
        assignment = self._assignments.get(fetch.index)
        if assignment is None:
            return
        delay = self._options.retry_delay * self._random.uniform(0.8, 1.2)
        if fetch.source == ORIGIN:
            assignment.failures += 1
            self._vain_draws += 1
            self._draw_again_at = now + delay
            backoff = min(2**assignment.failures, self._options.max_backoff)
            self._look_again(now + delay * backoff, fetch.index)
        elif fetch.index not in self._due:
            # A neighbour's offer, not what this agent has to bring in.
            return
        elif availability in ("", "failing") or (
            # Who doesn't have it now would wait for this agent to bring it.
            availability != "busy" and self._is_last_look(assignment)
        ):
            assignment.failed.add(fetch.source)
            self._look_again(now + delay, fetch.index)
        else:
            # Another holder may have it, or have it to spare.
            assignment.turn += 1
            if availability != "missing":
                assignment.asked_since = now
            wait = self._options.patience if assignment.role.rank else delay
            self._look_again(now + wait, fetch.index)

    def _look_again(self, at, index):
        self._assignments[index].due_at = at
        self._due.pop(index, None)
        heapq.heappush(self._due_heap, (at, index))

    def _end(self, index, source=None):
        if source is None or self.in_flight.get(index) == source:
            self.in_flight.pop(index, None)

    def _offered(self):
        # What only failing neighbours have must still be brought in.
        offered = 0
        for row in self.neighbour_by_instance.values():
            if row.failures < FAILING:
                offered |= row.have
        return offered

    def _exchange(self, now):
        busy_sources = set(self.in_flight.values())
        room = self._options.max_peer_fetches
        room -= sum(source != ORIGIN for source in self.in_flight.values())
        wanted = self._all & ~self.have
        for index in self.in_flight:
            wanted &= ~(1 << index)
        rows = {
            name: row
            for name, row in self.neighbour_by_instance.items()
            if row.busy_until <= now and name not in busy_sources and row.have & wanted
        }
        fetches = []
        while rows and len(fetches) < room:
            index = self._pick_rarest(rows, wanted)
            holders = [name for name, row in rows.items() if row.have >> index & 1]
            source = min(
                holders, key=lambda name: (rows[name].uploads, self._random.random())
            )
            fetches.append(Fetch(index, source))
            wanted &= ~(1 << index)
            del rows[source]
            rows = {name: row for name, row in rows.items() if row.have & wanted}
        return fetches

    def _pick_rarest(self, rows, wanted):
        # at_least[k] holds the chunks that more than k of the neighbours have.
        at_least = []
        for row in self.neighbour_by_instance.values():
            carry = row.have & wanted
            for level, chunks in enumerate(at_least):
                at_least[level], carry = chunks | carry, chunks & carry
            if carry:
                at_least.append(carry)
        available = 0
        for row in rows.values():
            available |= row.have
        available &= wanted
        for level, chunks in enumerate(at_least):
            more = at_least[level + 1] if level + 1 < len(at_least) else 0
            rarest = chunks & ~more & available
            if rarest:
                return self._random_bit(rarest)
        return self._random_bit(available)

    def _random_bit(self, chunks):
        skip = self._random.randrange(chunks.bit_count())
        for _ in range(skip):
            chunks &= chunks - 1
        return (chunks & -chunks).bit_length() - 1
