"""A model of links for transfers: slots of one chunk's time on a machine's link.

In each slot a machine receives at most one chunk and sends at most one; on a shared
link it does one or the other. The origin sends a few chunks a slot. Chunks that cross
between regions are counted. The decisions are those of the planner under test, run on
the same inputs as in an agent: neighbours' chunks as of the last slot, and failures.
"""

import random
from dataclasses import dataclass

from banyanshore.weights.placement import ChunkRole, Member, Placement
from banyanshore.weights.planner import TransferPlanner
from banyanshore.weights.planner_rows import ORIGIN, PlannerOptions

REGIONS = 3
DATA_CENTRES = 11
# Copies' worth of chunks that the origin can send while one copy takes its time on a
# machine's link: its link carries four copies in the time allowed, a machine's two.
ORIGIN_SPEED = 2
# Chunks a slot between two regions, over a link that is thin for so many machines.
NEIGHBOURS = 12
# Times in a slot at which a machine that receives nothing may ask again.
ATTEMPTS = 12


@dataclass(frozen=True)
class Faults:
    """Shares of machines and links that fail.

    :param dying: machines that die at a random slot of the transfer.
    :param stalled: machines whose uploads stop at a random slot.
    :param corrupt: chunks that arrive with a wrong digest.
    """

    dying: float = 0.0
    stalled: float = 0.0
    corrupt: float = 0.0


@dataclass(frozen=True)
class Outcome:
    """What one transfer took.

    :param copies_time: slots divided by the chunks of one copy.
    :param origin_copies: copies drawn from the origin.
    :param region_copies: copies that came into the region that took most.
    :param busiest: greatest in plus out of a machine, in copies.
    :param control_bytes: bytes of control a machine sent, on average.
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
    """A placement whose roles are worked out once for all machines of the model.

    An agent needs just its own roles, so it keeps none of the others.
    """

    def __init__(self, members):
        super().__init__(members)
        self._roles_by_key = {}

    def role(self, instance, data_centre, chunk):
        """Return the :class:`ChunkRole` of an agent."""
        roles = self._roles_by_key.get((data_centre, chunk))
        if roles is None:
            upstream = self.upstream(data_centre, chunk)
            roles = {
                name: ChunkRole(rank, upstream)
                for rank, name in enumerate(self.ranked_agents(data_centre, chunk))
            }
            self._roles_by_key[data_centre, chunk] = roles
        # One that has died isn't in the order any more; what it would do is not asked.
        return roles.get(instance) or ChunkRole(len(roles), "")


class Machine:
    """One machine in the model."""

    def __init__(self, number, data_centres):
        self.name = f"agent-{number:04}"
        self.data_centre = f"dc-{number % data_centres:02}"
        self.region = f"region-{number % data_centres % REGIONS}"
        self.planner = None
        self.sent = self.received = 0
        self.control = 0
        self.dies_at = self.stalls_at = None
        self.done_at = None

    def is_alive(self, slot):
        """Tell whether the machine lives in a slot."""
        return self.dies_at is None or slot < self.dies_at

    def may_send(self, slot):
        """Tell whether its uploads work in a slot."""
        if not self.is_alive(slot):
            return False
        return self.stalls_at is None or slot < self.stalls_at


class LinkModel:
    """One transfer to many machines."""

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
        self.into_region = {}
        self.deaths_known = set()
        self._plant_faults()
        self._start_planners()

    def _plant_faults(self):
        span = 2 * self.chunks
        for machine in self.machines[1:]:
            if self.random.random() < self.faults.dying:
                machine.dies_at = self.random.randrange(span)
            elif self.random.random() < self.faults.stalled:
                machine.stalls_at = self.random.randrange(span)

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
            max(self.into_region.values(), default=0) / self.chunks,
            max(m.sent + m.received for m in self.machines) / self.chunks,
            sum(m.control for m in self.machines) / self.count,
            len(done),
            len(living),
        )

    def _is_done(self, slot):
        return all(m.planner.is_complete for m in self.machines if m.is_alive(slot))

    def _run_slot(self, slot):
        self._notice_deaths(slot)
        living = [m for m in self.machines if m.is_alive(slot)]
        self._tell_neighbours(living)
        # Links that carry a chunk in this slot, by direction; shared: in either.
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
                    self._ask(slot, now, machine, sending, receiving)

    def _ask(self, slot, now, machine, sending, receiving):
        for fetch in machine.planner.tick(now):
            if fetch.source == ORIGIN:
                # It comes when the origin has sent what was asked for before it.
                self.origin_queue.append((machine, fetch))
                continue
            ok = self._may_carry(slot, machine, fetch, sending, receiving)
            self._carry(slot, now, machine, fetch, ok, sending, receiving)

    def _serve_origin(self, slot, receiving):
        waiting, self.origin_queue = self.origin_queue, []
        room = ORIGIN_SPEED
        for machine, fetch in waiting:
            if not machine.is_alive(slot):
                continue
            if room and machine.name not in receiving:
                room -= 1
                self._carry(slot, float(slot), machine, fetch, True, set(), receiving)
            else:
                self.origin_queue.append((machine, fetch))

    def _may_carry(self, slot, machine, fetch, sending, receiving):
        source = self.by_name[fetch.source]
        if machine.name in receiving or source.name in sending:
            return False
        if self.shared and (source.name in receiving or machine.name in sending):
            return False
        has = source.planner.have >> fetch.index & 1
        return source.may_send(slot) and has and source.planner.may_upload(0)

    def _carry(self, slot, now, machine, fetch, ok, sending, receiving):
        planner = machine.planner
        if not ok:
            planner.record_failure(now, fetch, self._refusal(slot, fetch))
            return
        receiving.add(machine.name)
        machine.received += 1
        self._count(machine, fetch, sending)
        if self.random.random() < self.faults.corrupt:
            planner.record_corrupt(now, fetch)
        else:
            planner.record_received(fetch.index)
        if planner.is_complete and machine.done_at is None:
            machine.done_at = slot

    def _count(self, machine, fetch, sending):
        if fetch.source == ORIGIN:
            self.origin_sent += 1
            return
        source = self.by_name[fetch.source]
        sending.add(source.name)
        source.sent += 1
        source.planner.uploads += 1
        if source.region != machine.region:
            known = self.into_region.get(machine.region, 0)
            self.into_region[machine.region] = known + 1

    def _refusal(self, slot, fetch):
        source = self.by_name[fetch.source]
        if not source.may_send(slot):
            return ""
        if source.planner.have >> fetch.index & 1:
            return "busy"
        return source.planner.availability(fetch.index)

    def _notice_deaths(self, slot):
        # Rosters drop a silent agent after some seconds, here a few slots.
        dead = {m.name for m in self.machines if not m.is_alive(slot - 6)}
        if dead != self.deaths_known:
            self.deaths_known = dead
            placement = self._placement(slot - 6)
            for machine in self.machines:
                if not machine.planner.is_complete:
                    machine.planner.set_placement(float(slot), placement)

    def _tell_neighbours(self, living):
        size = (self.chunks + 7) // 8 + 80
        for machine in living:
            planner = machine.planner
            for name in planner.neighbour_by_instance:
                other = self.by_name[name].planner
                other.record_have(machine.name, planner.have, planner.uploads)
            if not planner.is_complete:
                machine.control += size * len(planner.neighbour_by_instance)
