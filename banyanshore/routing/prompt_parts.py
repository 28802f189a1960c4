"""Detection of parts of prompts that crash the targets that answer them; does no I/O.

Load pattern: requests share parts of their prompts, and one such part crashes each
target that begins to answer it, along with all other requests there. No two of these
requests are alike, and other parts of theirs are in sound requests, too. Targets crash
faster than they come back, so that most other requests are refused.

The evidence against a part is that a target crashed while it had a request with the
part whose answer had not begun. A request whose answer had begun before the crash has
not caused it. The evidence for a part is each answer to a request with it that has
begun. Both are weighed by a likelihood ratio: how much likelier are they if the part
crashes its targets, than if its requests are lost as often as others are, since they
ran beside the cause? A crash that a refused part explains counts against no other part.

All gateways know of all crashes; each counts the answers that have begun by itself, and
reports those that share a part with a crash. A part that one gateway refuses is refused
by all.

While a part is suspected and not refused yet, each gateway lets its requests through
one at a time: several parts may crash all targets before the evidence against each is
enough, and their requests would come in numbers as soon as the targets are back.
"""

import math
from collections import deque

from banyanshore.routing.crashes import CRASHES_TO_REFUSE, EXPIRY_SECONDS
from banyanshore.routing.held_parts import CRASHES_TO_SUSPECT, HeldParts
from banyanshore.routing.part_evidence import (
    COUNTING_SECONDS,
    RecentCounts,
    RefusedPart,
    UnbegunLoss,
    count_distinct,
    find_common_parts,
    log_likelihood_ratio,
)

# Likelihood ratio from which a part is refused; high, since each crash makes all parts
# of the requests there suspects.
REFUSAL_RATIO = 1000.0
# Factor within which likelihood ratios don't tell two parts apart.
SAME_RATIO = 3.0
# Requests that are assumed to have begun without a loss, for the rate of losses of
# others while few are known.
ASSUMED_BEGUN = 20
# Seconds after a crash before it is weighed, in which reports of other gateways arrive.
SETTLE_SECONDS = 0.3
# Seconds after a report of a crash for which the evidence is weighed again.
WEIGHING_SECONDS = 2.0
# Seconds by which gateways may differ on the time of one crash.
SAME_CRASH_SECONDS = 0.5
# Maximum crashes, parts of one crash, and refused parts; the oldest are dropped.
MAX_CRASHES = 256
MAX_PARTS_PER_CRASH = 256
MAX_REFUSED = 64
MAX_CLEARED = 256
# Maximum parts in one report of answers that have begun.
MAX_REPORTED_PARTS = 64


class PartDetector:
    """Find the parts of prompts that crash targets."""

    def __init__(self):
        self._loss_by_target_id = {}
        self._refused_by_part = {}
        # Times of the last crashes of which parts were cleared.
        self._cleared_at_by_part = {}
        self._begun = RecentCounts()
        self._begun_total = RecentCounts()
        # Own requests that were lost before they began: time and parts.
        self._own_losses = deque(maxlen=MAX_CRASHES)
        # Last reports of own answers: time and count.
        self._reported_by_part = {}
        # Answers that other gateways report to have begun: time and count.
        self._reported_by_part_by_sender = {}
        # Crashes are weighed again until this time.
        self._weigh_until = -math.inf
        # Answers after the last crash of a refused part.
        self._survivals_by_part = {}
        self._held = HeldParts(self._ratio_now)

    @property
    def has_suspects(self):
        """Return whether any part is refused or suspected."""
        return bool(self._refused_by_part) or self._held.has_suspects

    def find_refused(self, now, parts):
        """Return the part that keeps a request from being sent now, or ``None``.

        A request without such a part counts as sent.

        :return: a :class:`RefusedPart`, also for a part that is only suspected.
        """
        row = self.find_proven(now, parts) or self.find_held(now, parts)
        if row is None:
            self.record_sent(now, parts)
        return row

    def find_held(self, now, parts):
        """Return the suspected part whose requests have to wait, or ``None``."""
        return self._held.find(now, parts)

    def record_sent(self, now, parts):
        """Record that a request is sent to a target."""
        self._held.record_sent(now, parts)

    def find_proven(self, now, parts):
        """Return the :class:`RefusedPart` that a prompt contains, or ``None``."""
        for part in parts:
            row = self._refused_by_part.get(part)
            if row is not None and now < row.refused_until:
                return row
        return None

    def record_begun(self, now, offered_at, parts):
        """Record that the answer to a request has begun.

        :return: the :class:`RefusedPart` rows that are cleared by it.
        """
        self._begun_total.add(now, None)
        for part in parts:
            self._begun.add(now, part)
        return [row for part in parts if (row := self._survive(offered_at, part))]

    def _survive(self, offered_at, part):
        """Clear a part once as many answers have begun as crashes count against it."""
        row = self._refused_by_part.get(part)
        if row is None or offered_at <= row.lost_at:
            return None
        self._survivals_by_part[part] = self._survivals_by_part.get(part, 0) + 1
        if self._survivals_by_part[part] < row.crashes:
            return None
        self.clear(part, row.lost_at)
        return row

    def record_own_loss(self, now, parts):
        """Record a request of this gateway that was lost before it began."""
        self._own_losses.append((now, parts))

    def record_crash(self, now, loss):
        """Record a crash that this or another gateway has found; return if it is new.

        Each gateway reports the requests that it had there.
        """
        known = self._loss_by_target_id.get(loss.target_id)
        parts, lost_at = loss.parts, loss.lost_at
        if known is not None:
            parts, lost_at = known.parts | parts, min(known.lost_at, lost_at)
            if parts == known.parts:
                return False
        parts = frozenset(sorted(parts)[:MAX_PARTS_PER_CRASH])
        row = UnbegunLoss(loss.target_id, lost_at, parts)
        self._loss_by_target_id[loss.target_id] = row
        if len(self._loss_by_target_id) > MAX_CRASHES:
            del self._loss_by_target_id[next(iter(self._loss_by_target_id))]
        self._weigh_until = now + WEIGHING_SECONDS
        return True

    def withdraw_crash(self, target_id):
        """Withdraw a crash, since the target has not exited after all."""
        loss = self._loss_by_target_id.pop(target_id, None)
        if loss is None:
            return
        for part in loss.parts & self._refused_by_part.keys():
            times = self._crash_times(part, -math.inf)
            if count_distinct(times) < CRASHES_TO_REFUSE:
                del self._refused_by_part[part]

    def take_begun_to_report(self, now):
        """Return the own counts of answers with suspected parts, to be reported now.

        A count is reported once its part has crashed a target twice, and again when it
        has doubled, so that reports stay few however many answers begin.

        :return: pairs of part and count, at most ``MAX_REPORTED_PARTS``.
        """
        self._reported_by_part = {
            part: row
            for part, row in self._reported_by_part.items()
            if now - row[0] <= COUNTING_SECONDS
        }
        counts = []
        for part in find_common_parts(self._recent_losses(now), CRASHES_TO_REFUSE - 1):
            count = self._begun.get(now, part)
            _, reported = self._reported_by_part.get(part, (now, 0))
            if count >= max(1, 2 * reported):
                counts.append((part, count))
        counts = tuple(counts[:MAX_REPORTED_PARTS])
        self._reported_by_part.update((part, (now, count)) for part, count in counts)
        return counts

    def _recent_losses(self, now):
        return [
            loss
            for loss in self._loss_by_target_id.values()
            if now - loss.lost_at <= COUNTING_SECONDS
        ]

    def record_report(self, now, sender, counts):
        """Record how many answers with some parts have begun at another gateway.

        :param counts: pairs of part and count.
        :return: the :class:`RefusedPart` rows that are cleared by it.
        """
        rows = self._reported_by_part_by_sender.setdefault(sender, {})
        for part, count in counts[:MAX_REPORTED_PARTS]:
            rows.pop(part, None)
            rows[part] = (now, count)
        while len(rows) > MAX_REPORTED_PARTS:
            del rows[next(iter(rows))]
        cleared = []
        for part, _ in counts:
            row = self._refused_by_part.get(part)
            if row is not None and not self._is_likely_cause(now, row):
                self.clear(part, row.lost_at)
                cleared.append(row)
        return cleared

    def forget_senders(self, senders):
        """Forget the reports of all but the given gateways."""
        for name in self._reported_by_part_by_sender.keys() - senders:
            del self._reported_by_part_by_sender[name]

    def _count_begun(self, now, part):
        count = self._begun.get(now, part)
        for rows in self._reported_by_part_by_sender.values():
            at, reported = rows.get(part, (now, 0))
            if now - at <= COUNTING_SECONDS:
                count += reported
        return count

    def _is_likely_cause(self, now, row):
        return self._ratio_now(now, row) >= math.log(REFUSAL_RATIO)

    def _ratio_now(self, now, row):
        begun = self._count_begun(now, row.part)
        return log_likelihood_ratio(row.crashes, begun, row.base_rate)

    def weigh(self, now):
        """Weigh the evidence; return the :class:`RefusedPart` rows that are new."""
        self._forget(now)
        if now > self._weigh_until:
            return []
        found = self._add_crashes_of_refused()
        weighed = set()
        while rows := [
            r for r in self._find_likely_causes(now) if r.part not in weighed
        ]:
            for row in rows:
                weighed.add(row.part)
                self.refuse(row)
            found += rows
        self._held.suspect(self._find_suspects(now))
        return found

    def _find_suspects(self, now):
        """Return the :class:`RefusedPart` rows of the parts to try one at a time.

        Crashes that another part explains count, too: where two parts crash all targets
        at once, most crashes have requests with both.
        """
        losses = self._recent_losses(now)
        rows = []
        for part in find_common_parts(losses, CRASHES_TO_SUSPECT):
            if part not in self._refused_by_part:
                times = self._uncleared_times(part, losses)
                crashes = count_distinct(times)
                if crashes >= CRASHES_TO_SUSPECT:
                    base_rate = self._base_rate(now, part)
                    rows.append(RefusedPart(part, crashes, max(times), base_rate))
        return rows

    def _uncleared_times(self, part, losses):
        """Return the times of the crashes with a part that it isn't cleared of."""
        return [
            loss.lost_at
            for loss in losses
            if part in loss.parts and not self._is_cleared(part, loss.lost_at)
        ]

    def take_explained(self):
        """Clear and return the refused parts whose crashes another part explains."""
        taken = []
        for part, row in list(self._refused_by_part.items()):
            losses = [r for r in self._loss_by_target_id.values() if part in r.parts]
            others = [
                other.part
                for other in self._refused_by_part.values()
                if other.crashes > row.crashes
            ]
            if losses and any(
                all(other in loss.parts for loss in losses) for other in others
            ):
                self.clear(part, row.lost_at)
                taken.append(row)
        return taken

    def _add_crashes_of_refused(self):
        """Count further crashes by parts that are known; return their new rows."""
        found = []
        for part, row in list(self._refused_by_part.items()):
            times = self._crash_times(part, row.lost_at)
            if times:
                crashes = row.crashes + count_distinct(times)
                new = RefusedPart(part, crashes, max(times), row.base_rate)
                self.refuse(new)
                found.append(new)
        return found

    def _crash_times(self, part, after):
        """Return the times of the crashes with a part that came after another one."""
        return [
            row.lost_at
            for row in self._loss_by_target_id.values()
            if part in row.parts and row.lost_at > after + SAME_CRASH_SECONDS
        ]

    def _find_likely_causes(self, now):
        """Return the likeliest causes of the crashes that are not explained yet.

        :return: rows that the evidence doesn't tell apart, empty without a cause.
        """
        losses = [
            loss
            for loss in self._recent_losses(now)
            if now - loss.lost_at >= SETTLE_SECONDS
            and loss.parts.isdisjoint(self._refused_by_part)
        ]
        ratio_by_row = {}
        for part in find_common_parts(losses, CRASHES_TO_REFUSE):
            times = self._uncleared_times(part, losses)
            crashes = count_distinct(times)
            if crashes < CRASHES_TO_REFUSE:
                continue
            base_rate = self._base_rate(now, part)
            begun = self._count_begun(now, part)
            row = RefusedPart(part, crashes, max(times), base_rate)
            ratio_by_row[row] = log_likelihood_ratio(crashes, begun, base_rate)
        best = max(ratio_by_row.values(), default=-math.inf)
        if best < math.log(REFUSAL_RATIO):
            return []
        least = max(math.log(REFUSAL_RATIO), best - math.log(SAME_RATIO))
        return [row for row, ratio in ratio_by_row.items() if ratio >= least]

    def _base_rate(self, now, part):
        """Return the rate of losses of requests without a part."""
        lost = sum(
            part not in parts
            for at, parts in self._own_losses
            if now - at <= COUNTING_SECONDS
        )
        begun = self._begun_total.get(now, None) - self._begun.get(now, part)
        return (lost + 1) / (lost + begun + ASSUMED_BEGUN)

    def _is_cleared(self, part, lost_at):
        cleared_at = self._cleared_at_by_part.get(part, -math.inf)
        return lost_at <= cleared_at + SAME_CRASH_SECONDS

    def refuse(self, row):
        """Refuse a part that this or another gateway has found; return if it is new."""
        known = self._refused_by_part.get(row.part)
        if self._is_cleared(row.part, row.lost_at):
            return False
        if known is not None and known.crashes >= row.crashes:
            return False
        self._refused_by_part.pop(row.part, None)
        self._refused_by_part[row.part] = row
        self._survivals_by_part.pop(row.part, None)
        if len(self._refused_by_part) > MAX_REFUSED:
            del self._refused_by_part[next(iter(self._refused_by_part))]
        return True

    def clear(self, part, lost_at):
        """Clear a part of its crashes up to a time; return whether it was refused."""
        self._cleared_at_by_part.pop(part, None)
        self._cleared_at_by_part[part] = lost_at
        if len(self._cleared_at_by_part) > MAX_CLEARED:
            del self._cleared_at_by_part[next(iter(self._cleared_at_by_part))]
        self._survivals_by_part.pop(part, None)
        row = self._refused_by_part.get(part)
        if row is None or row.lost_at > lost_at:
            return False
        del self._refused_by_part[part]
        return True

    def refused_to_repeat(self, now):
        """Return the rows of the parts that are refused now."""
        return [
            row for row in self._refused_by_part.values() if now < row.refused_until
        ]

    def _forget(self, now):
        for part, row in list(self._refused_by_part.items()):
            refused = row.refused_until - row.lost_at
            if now - row.lost_at > max(EXPIRY_SECONDS, 2 * refused):
                del self._refused_by_part[part]
        for target_id, loss in list(self._loss_by_target_id.items()):
            if now - loss.lost_at > EXPIRY_SECONDS:
                del self._loss_by_target_id[target_id]
