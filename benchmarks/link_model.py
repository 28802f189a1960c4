"""Simulate transfers in slots, each the time of one chunk on a machine's link.

In each slot a machine receives at most one chunk and sends at most one; on a shared
link it does one or the other. The origin sends a few chunks a slot. Chunks sent between
regions are counted. The real planner decides, on the same inputs as in an agent: the
neighbours' chunks as of the last slot, and failures.
"""

import random
from dataclasses import dataclass

from banyanshore.weights.placement import ChunkRole, Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions

REGIONS = 3
DATA_CENTRES = 11
# Chunks that the origin can send in a slot. In the time allowed its link carries four
# copies and a machine's link two.
ORIGIN_CHUNKS_PER_SLOT = 2
# Neighbours that each machine chooses at random in its data centre, at most.
NEIGHBOURS = 12
# Times in a slot at which a machine without a transfer may request a chunk.
ATTEMPTS = 12


@dataclass(frozen=True)
class Faults:
    """Fractions of machines and chunks that fail.

    :param dying: machines that die at a random slot of the transfer.
    :param stalled: machines whose uploads stop at a random slot.
    :param corrupt: chunks that arrive with a wrong digest.
    """

    dying: float = 0.0
    stalled: float = 0.0
    corrupt: float = 0.0


@dataclass(frozen=True)
class Outcome:
    """The figures of one transfer.

    :param copies_time: slots divided by the chunks of one copy.
    :param origin_copies: copies sent by the origin.
    :param region_copies: copies sent into the region that received most from others.
    :param busiest: highest traffic of a machine, received plus sent, in copies.
    :param control_bytes: control bytes sent per machine, on average.
    :param completed: machines alive at the end that have all chunks.
    :param living: machines alive at the end.
    """

    slots: int
    copies_time: float
    origin_copies: float
    region_copies: float
    busiest: float
    control_bytes: float
    completed: int
    living: int


class SharedPlacement(Placement):
    """A placement that caches the roles of all machines of the model.

    An agent needs only its own roles, so the real class doesn't cache them.
    """

    def __init__(self, members):
        super().__init__(members)
        self._roles_by_key = {}

    def role(self, instance, data_centre, chunk):
        """Return the :class:`ChunkRole` of an agent for a chunk."""
        roles = self._roles_by_key.get((data_centre, chunk))
        if roles is None:
            upstream = self.upstream(data_centre, chunk)
            roles = {
                name: ChunkRole(rank, upstream)
                for rank, name in enumerate(self.ranked_agents(data_centre, chunk))
            }
            self._roles_by_key[data_centre, chunk] = roles
        # A dead machine has no rank any more; its role isn't used.
        return roles.get(instance) or ChunkRole(len(roles), "")


class Machine:
    """A machine in the model."""

    def __init__(self, number, data_centres):
        self.name = f"agent-{number:04}"
        self.data_centre = f"dc-{number % data_centres:02}"
        self.region = f"region-{number % data_centres % REGIONS}"
        self.planner = None
        self.sent = self.received = 0
        self.control_bytes = 0
        self.dies_at = self.stalls_at = None
        self.completed_at = None

    def is_alive(self, slot):
        """Return whether the machine is alive in a slot."""
        return self.dies_at is None or slot < self.dies_at

    def can_send(self, slot):
        """Return whether its uploads work in a slot."""
        if not self.is_alive(slot):
            return False
        return self.stalls_at is None or slot < self.stalls_at


class LinkModel:
    """A transfer of one version to many machines."""

    def __init__(self, count, chunks, shared=False, faults=None, seed=1):
        self.random = random.Random(seed)
        self.count = count
        self.chunks = chunks
        self.shared = shared
        self.faults = faults or Faults()
        self.digests = [f"{seed}-{index}" for index in range(chunks)]
        data_centres = min(DATA_CENTRES, max(1, count // 3))
        self.machines = [Machine(number, data_centres) for number in range(count)]
        self.by_name = {machine.name: machine for machine in self.machines}
        self.origin_sent = 0
        self.origin_queue = []
        self.received_by_region = {}
        self.known_dead = set()
        self._draw_faults()
        self._start_planners()

    def _draw_faults(self):
        fault_slots = 2 * self.chunks
        for machine in self.machines[1:]:
            if self.random.random() < self.faults.dying:
                machine.dies_at = self.random.randrange(fault_slots)
            elif self.random.random() < self.faults.stalled:
                machine.stalls_at = self.random.randrange(fault_slots)

    def _start_planners(self):
        placement = self._placement(0)
        options = PlannerOptions(
            max_origin_fetches=1,
            max_peer_fetches=1,
            max_uploads=1,
            takeover_timeout=12.0,
            retry_delay=1 / ATTEMPTS,
            busy_delay=0.9,
        )
        for machine in self.machines:
            machine.planner = TransferPlanner(
                machine.name,
                machine.data_centre,
                self.digests,
                placement,
                options,
                self.random,
                0.0,
            )
        self._choose_neighbours()

    def _placement(self, slot):
        return SharedPlacement(
            [
                Member(machine.name, machine.data_centre, machine.region)
                for machine in self.machines
                if machine.is_alive(slot)
            ]
        )

    def _choose_neighbours(self):
        chosen = {machine.name: set() for machine in self.machines}
        by_data_centre = {}
        for machine in self.machines:
            by_data_centre.setdefault(machine.data_centre, []).append(machine.name)
        for names in by_data_centre.values():
            for name in names:
                others = [other for other in names if other != name]
                for other in self.random.sample(others, min(NEIGHBOURS, len(others))):
                    chosen[name].add(other)
                    if len(chosen[other]) < 2 * NEIGHBOURS:
                        chosen[other].add(name)
        for machine in self.machines:
            machine.planner.set_neighbours(sorted(chosen[machine.name]))

    def run(self, max_slots=None):
        """Run the transfer and return its :class:`Outcome`."""
        slot = 0
        limit = max_slots or 4 * self.chunks + 100
        while slot < limit and not self._is_done(slot):
            self._run_slot(slot)
            slot += 1
        living = [m for m in self.machines if m.is_alive(slot)]
        done = [m for m in living if m.planner.is_complete]
        return Outcome(
            slot,
            slot / self.chunks,
            self.origin_sent / self.chunks,
            max(self.received_by_region.values(), default=0) / self.chunks,
            max(m.sent + m.received for m in self.machines) / self.chunks,
            sum(m.control_bytes for m in self.machines) / self.count,
            len(done),
            len(living),
        )

    def _is_done(self, slot):
        return all(m.planner.is_complete for m in self.machines if m.is_alive(slot))

    def _run_slot(self, slot):
        self._drop_dead_machines(slot)
        living = [m for m in self.machines if m.is_alive(slot)]
        self._exchange_availability(living)
        # Machines that send or receive a chunk in this slot.
        sending, receiving = set(), set()
        self._serve_origin(slot, receiving)
        for attempt in range(ATTEMPTS):
            self.random.shuffle(living)
            for machine in living:
                busy = machine.name in receiving
                if self.shared:
                    busy = busy or machine.name in sending
                if not busy:
                    now = slot + attempt / ATTEMPTS
                    self._request_chunks(slot, now, machine, sending, receiving)

    def _request_chunks(self, slot, now, machine, sending, receiving):
        for fetch in machine.planner.tick(now):
            if fetch.source == ORIGIN:
                # The origin serves requests in order.
                self.origin_queue.append((machine, fetch))
                continue
            can_transfer = self._can_transfer(slot, machine, fetch, sending, receiving)
            self._transfer(slot, now, machine, fetch, can_transfer, sending, receiving)

    def _serve_origin(self, slot, receiving):
        requests, self.origin_queue = self.origin_queue, []
        chunks_left = ORIGIN_CHUNKS_PER_SLOT
        for machine, fetch in requests:
            if not machine.is_alive(slot):
                continue
            if chunks_left and machine.name not in receiving:
                chunks_left -= 1
                self._transfer(
                    slot, float(slot), machine, fetch, True, set(), receiving
                )
            else:
                self.origin_queue.append((machine, fetch))

    def _can_transfer(self, slot, machine, fetch, sending, receiving):
        source = self.by_name[fetch.source]
        if machine.name in receiving or source.name in sending:
            return False
        if self.shared and (source.name in receiving or machine.name in sending):
            return False
        contains_chunk = source.planner.have >> fetch.index & 1
        return source.can_send(slot) and contains_chunk and source.planner.may_upload(0)

    def _transfer(self, slot, now, machine, fetch, can_transfer, sending, receiving):
        planner = machine.planner
        if not can_transfer:
            planner.record_failure(now, fetch, self._refusal_reason(slot, fetch))
            return
        receiving.add(machine.name)
        machine.received += 1
        self._count_transfer(machine, fetch, sending)
        if self.random.random() < self.faults.corrupt:
            planner.record_corrupt(now, fetch)
        else:
            planner.record_received(fetch.index)
        if planner.is_complete and machine.completed_at is None:
            machine.completed_at = slot

    def _count_transfer(self, machine, fetch, sending):
        if fetch.source == ORIGIN:
            self.origin_sent += 1
            return
        source = self.by_name[fetch.source]
        sending.add(source.name)
        source.sent += 1
        source.planner.uploads += 1
        if source.region != machine.region:
            received = self.received_by_region.get(machine.region, 0)
            self.received_by_region[machine.region] = received + 1

    def _refusal_reason(self, slot, fetch):
        source = self.by_name[fetch.source]
        if not source.can_send(slot):
            return ""
        if source.planner.have >> fetch.index & 1:
            return "busy"
        return source.planner.availability(fetch.index)

    def _drop_dead_machines(self, slot):
        # Rosters drop a silent agent after some seconds, which are a few slots here.
        dead = {m.name for m in self.machines if not m.is_alive(slot - 6)}
        if dead != self.known_dead:
            self.known_dead = dead
            placement = self._placement(slot - 6)
            for machine in self.machines:
                if not machine.planner.is_complete:
                    machine.planner.set_placement(float(slot), placement)

    def _exchange_availability(self, living):
        size = (self.chunks + 7) // 8 + 80
        for machine in living:
            planner = machine.planner
            for name in planner.neighbour_by_instance:
                other = self.by_name[name].planner
                other.record_have(machine.name, planner.have, planner.uploads)
            if not planner.is_complete:
                machine.control_bytes += size * len(planner.neighbour_by_instance)
