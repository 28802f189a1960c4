"""Plan the transfer of one version at one agent: deterministic, without I/O.

A set of chunks is an integer in which bit ``i`` stands for chunk ``i``. An agent
fetches the chunks that the placement assigns to it, from the origin or from an upstream
data centre, and takes over from agents of lower rank that fail. It fetches all other
chunks from neighbours: the rarest first, from the neighbour with the fewest uploads.
"""

import heapq
import math
from itertools import islice

from banyanshore.weights.planner_rows import (
    ORIGIN,
    Assignment,
    Fetch,
    Neighbour,
)

# Consecutive failures after which a neighbour's chunks don't count as available.
FAILURE_THRESHOLD = 2
# Takeover timeouts without progress after which the next group is asked for a chunk.
MAX_GROUP_TIMEOUTS = 10


class TransferPlanner:
    """Decide which chunks one agent fetches from where, for one transfer.

    :param instance: name of this agent.
    :param data_centre: data centre of this agent.
    :param chunk_digests: digests in hexadecimal, in order.
    :param placement: the :class:`~banyanshore.weights.placement.Placement`.
    :param options: the :class:`~banyanshore.weights.planner_rows.PlannerOptions`.
    :param have: chunks that are already verified, as bits.
    :ivar in_flight: source of each chunk that is being fetched, by index.
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
        self._all_chunks = (1 << len(chunk_digests)) - 1
        self._assignments = {}
        # Failed fetches since the last chunk from the origin, and when to retry it.
        self._failed_origin_fetches = 0
        self._retry_origin_at = now
        self.set_placement(now, placement)

    @property
    def is_complete(self):
        """Return whether this agent has verified all chunks."""
        return self.have == self._all_chunks

    def set_placement(self, now, placement):
        """Update the roles of this agent after a change of the members."""
        self._placement = placement
        previous = self._assignments
        self._assignments = {}
        for index, digest in enumerate(self._digests):
            if self.have >> index & 1:
                continue
            role = placement.role(self._instance, self._data_centre, digest)
            known = previous.get(index)
            if known is not None and known.role == role:
                self._assignments[index] = known
            else:
                due_at = now + role.rank * self._options.takeover_timeout
                self._assignments[index] = Assignment(role, due_at)
        self._due_heap = [
            (assignment.due_at, index)
            for index, assignment in self._assignments.items()
        ]
        heapq.heapify(self._due_heap)
        # Indices of the due chunks, in the order in which they became due.
        self._due_chunks = {}

    def set_neighbours(self, instances):
        """Set the neighbours, keeping the state of those that remain."""
        self.neighbour_by_instance = {
            name: self.neighbour_by_instance.get(name) or Neighbour()
            for name in instances
        }

    def record_have(self, instance, have, uploads):
        """Record the chunks and the uploads that a neighbour reports."""
        neighbour = self.neighbour_by_instance.get(instance)
        if neighbour is not None:
            neighbour.have = have
            neighbour.uploads = uploads

    def record_received(self, index):
        """Record a chunk whose digest was verified."""
        source = self.in_flight.get(index)
        if source == ORIGIN:
            self._failed_origin_fetches = 0
        neighbour = self.neighbour_by_instance.get(source)
        if neighbour is not None:
            neighbour.failures = 0
        self._clear_in_flight(index)
        if not self.have >> index & 1:
            self.have |= 1 << index
            self.received += 1
        self._assignments.pop(index, None)
        self._due_chunks.pop(index, None)

    def record_failure(self, now, fetch, availability=""):
        """Record a failed fetch and schedule the next attempt.

        :param availability: reason that the source gave, empty if it didn't answer in
            time.
        """
        self._clear_in_flight(fetch.index, fetch.source)
        neighbour = self.neighbour_by_instance.get(fetch.source)
        if neighbour is not None and availability in ("", "busy"):
            neighbour.failures += availability == ""
            # A busy source would refuse again immediately, while others may be idle.
            delay = self._options.busy_delay * min(2**neighbour.failures, 16)
            neighbour.busy_until = now + delay * self._random.uniform(0.5, 1.5)
        if neighbour is not None and availability in ("missing", "queued"):
            neighbour.have &= ~(1 << fetch.index)
        self._schedule_retry(now, fetch, availability)

    def record_corrupt(self, now, fetch):
        """Record a chunk with a wrong digest, and pause its source for longer."""
        neighbour = self.neighbour_by_instance.get(fetch.source)
        if neighbour is not None:
            neighbour.failures += 4
        self.record_failure(now, fetch)

    def availability(self, index, data_centre=""):
        """Return why this agent can't send a chunk that it doesn't have.

        :param data_centre: data centre of the requester. If this agent fetches the
            chunk from there, the answer is "missing", so that the two agents don't wait
            for each other.
        """
        assignment = self._assignments.get(index)
        if assignment is None:
            return "missing"
        if assignment.origin_failures >= 2:
            return "failing"
        is_fetching = index in self.in_flight
        if data_centre and not is_fetching and assignment.role.upstream == data_centre:
            return "missing"
        is_expected = assignment.role.rank == 0 or is_fetching
        return "queued" if is_expected else "missing"

    def may_upload(self, active):
        """Return whether another upload may start now.

        :param active: number of uploads in progress.
        """
        # Agents already prefer the neighbour with the fewest uploads. A limit on all
        # uploads of an agent would block agents that need each other's last chunks.
        return active < self._options.max_uploads

    def tick(self, now, origin_limit=None):
        """Return the :class:`Fetch` objects to start now.

        :param origin_limit: most concurrent fetches from the origin, ``None`` for the
            option's.
        """
        if self.is_complete:
            return []
        if origin_limit is None:
            origin_limit = self._options.max_origin_fetches
        fetches = self._fetch_assigned(now, origin_limit)
        fetches += self._fetch_from_neighbours(now)
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def tick_origin_fetches(self, now, most=math.inf):
        """Return the origin fetches to start now, for any missing chunks.

        Used by the one agent that fetches from the origin for all others. While the
        origin is unavailable, it is asked for one chunk at a time, with a pause, until
        it sends one.

        :param most: most concurrent fetches, if fewer than the option's.
        """
        origin_fetches = sum(source == ORIGIN for source in self.in_flight.values())
        fetches = []
        limit = min(self._options.max_origin_fetches, most)
        if self._failed_origin_fetches >= limit:
            if now < self._retry_origin_at:
                return []
            limit = 1
        for index, assignment in self._assignments.items():
            if origin_fetches + len(fetches) >= limit:
                break
            is_due = assignment.origin_failures == 0 or assignment.due_at <= now
            if index not in self.in_flight and is_due:
                fetches.append(Fetch(index, ORIGIN))
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def wants_origin_fetch(self):
        """Return whether chunks are missing that aren't being fetched.

        An origin that doesn't send them counts as one that they aren't wanted from.
        """
        if self._failed_origin_fetches:
            return False
        return any(index not in self.in_flight for index in self._assignments)

    def tick_neighbour_fetches(self, now):
        """Return the fetches from neighbours to start now."""
        fetches = [] if self.is_complete else self._fetch_from_neighbours(now)
        for fetch in fetches:
            self.in_flight[fetch.index] = fetch.source
        return fetches

    def _fetch_assigned(self, now, origin_limit):
        while self._due_heap and self._due_heap[0][0] <= now:
            index = heapq.heappop(self._due_heap)[1]
            if index in self._assignments:
                self._due_chunks[index] = None
        if not self._due_chunks:
            return []
        return self._fetch_due(now, origin_limit)

    def _fetch_due(self, now, origin_limit):
        fetches = []
        origin_fetches = sum(source == ORIGIN for source in self.in_flight.values())
        peer_fetches = len(self.in_flight) - origin_fetches
        neighbour_chunks = self._healthy_neighbour_chunks()
        # In the order in which they became due, so that no chunk starves.
        for index in list(self._due_chunks):
            if index in self.in_flight or neighbour_chunks >> index & 1:
                continue
            assignment = self._assignments[index]
            source = self._assignment_source(now, index, assignment)
            if source == ORIGIN:
                if origin_fetches >= origin_limit:
                    continue
                origin_fetches += 1
            else:
                if peer_fetches >= self._options.max_peer_fetches:
                    continue
                peer_fetches += 1
            fetches.append(Fetch(index, source))
        return fetches

    def _assignment_source(self, now, index, assignment):
        """Return the source to ask for an assigned chunk."""
        max_wait = MAX_GROUP_TIMEOUTS * self._options.takeover_timeout
        groups = self._iter_groups(index, assignment.role)
        for names in islice(groups, assignment.group_index, None):
            usable = [name for name in names if name not in assignment.failed_sources]
            if assignment.waiting_since is None:
                assignment.waiting_since = now
            if usable and now - assignment.waiting_since <= max_wait:
                return usable[assignment.rotation % len(usable)]
            assignment.group_index += 1
            assignment.waiting_since = None
            assignment.rotation = 0
        return ORIGIN

    def _iter_groups(self, index, role):
        """Yield the groups of agents that may have a chunk, in the order to ask them.

        The origin is asked after all groups, so that a chunk that another data centre
        has isn't fetched from the origin again.
        """
        digest = self._digests[index]
        own = self._data_centre
        if role.rank:
            # Agents of lower rank, one of which may have the chunk by now.
            yield self._placement.holders(own, digest)[: role.rank]
        if role.upstream:
            yield self._placement.holders(role.upstream, digest)
        if role.rank or role.upstream or self._options.asks_other_data_centres:
            yield self._placement.first_holders(own, digest)

    def _is_in_last_group(self, assignment):
        role = assignment.role
        return assignment.group_index == (role.rank > 0) + (role.upstream != "")

    def _schedule_retry(self, now, fetch, availability):
        assignment = self._assignments.get(fetch.index)
        if assignment is None:
            return
        delay = self._options.retry_delay * self._random.uniform(0.8, 1.2)
        if fetch.source == ORIGIN:
            assignment.origin_failures += 1
            self._failed_origin_fetches += 1
            self._retry_origin_at = now + delay
            backoff = min(2**assignment.origin_failures, self._options.max_backoff)
            self._reschedule(now + delay * backoff, fetch.index)
        elif fetch.index not in self._due_chunks:
            # Fetched because a neighbour had it, not because of an assignment.
            return
        elif availability in ("", "failing") or (
            # An agent of the last group that lacks the chunk may wait for this agent.
            availability != "busy" and self._is_in_last_group(assignment)
        ):
            assignment.failed_sources.add(fetch.source)
            self._reschedule(now + delay, fetch.index)
        else:
            # Another holder may have the chunk, or a free upload slot.
            assignment.rotation += 1
            if availability != "missing":
                assignment.waiting_since = now
            wait = self._options.takeover_timeout if assignment.role.rank else delay
            self._reschedule(now + wait, fetch.index)

    def _reschedule(self, at, index):
        self._assignments[index].due_at = at
        self._due_chunks.pop(index, None)
        heapq.heappush(self._due_heap, (at, index))

    def _clear_in_flight(self, index, source=None):
        if source is None or self.in_flight.get(index) == source:
            self.in_flight.pop(index, None)

    def _healthy_neighbour_chunks(self):
        # Chunks that only failing neighbours have must still be fetched as assigned.
        neighbour_chunks = 0
        for neighbour in self.neighbour_by_instance.values():
            if neighbour.failures < FAILURE_THRESHOLD:
                neighbour_chunks |= neighbour.have
        return neighbour_chunks

    def _fetch_from_neighbours(self, now):
        busy_sources = set(self.in_flight.values())
        limit = self._options.max_peer_fetches
        limit -= sum(source != ORIGIN for source in self.in_flight.values())
        wanted = self._all_chunks & ~self.have
        for index in self.in_flight:
            wanted &= ~(1 << index)
        candidates = {
            name: neighbour
            for name, neighbour in self.neighbour_by_instance.items()
            if neighbour.busy_until <= now
            and name not in busy_sources
            and neighbour.have & wanted
        }
        fetches = []
        while candidates and len(fetches) < limit:
            index = self._pick_rarest(candidates, wanted)
            holders = [
                name
                for name, neighbour in candidates.items()
                if neighbour.have >> index & 1
            ]
            source = min(
                holders,
                key=lambda name: (candidates[name].uploads, self._random.random()),
            )
            fetches.append(Fetch(index, source))
            wanted &= ~(1 << index)
            del candidates[source]
            candidates = {
                name: neighbour
                for name, neighbour in candidates.items()
                if neighbour.have & wanted
            }
        return fetches

    def _pick_rarest(self, candidates, wanted):
        # at_least[k] holds the chunks that more than k of the neighbours have.
        at_least = []
        for neighbour in self.neighbour_by_instance.values():
            carry = neighbour.have & wanted
            for level, chunks in enumerate(at_least):
                at_least[level], carry = chunks | carry, chunks & carry
            if carry:
                at_least.append(carry)
        available = 0
        for neighbour in candidates.values():
            available |= neighbour.have
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
