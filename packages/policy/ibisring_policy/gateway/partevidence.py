"""What is known of one feature: losses of endpoints, and answers."""

__all__ = ['Loss', 'FeatureEvidence', 'answer_key', 'UNRESOLVED_SECONDS']

import math

import msgspec

# How long a loss counts while it is unknown whether the endpoint crashed.
UNRESOLVED_SECONDS = 5.0
MAX_KEPT_CRASHES = 16
# Bounds on the answers that are counted, of one router, and on the routers.
MAX_OWN_ANSWERS = 32
MAX_ANSWERERS = 32
_ACCOUNT_BITS = 32


class Loss(msgspec.Struct, frozen=True):
    """A lost answer: its monotonic time, and whose request it was."""

    at: float
    account: int


def answer_key(account, router_id):
    """Return the key of the answers that a router has had for an account."""
    return account << _ACCOUNT_BITS | router_id


class FeatureEvidence(msgspec.Struct):
    """Evidence on a feature; times are monotonic seconds.

    `crashes` and `unresolved` give losses by the id of the crash, `answers`
    their number by `answer_key`.  `asked_at` is when a request was last
    refused for the feature.
    """

    changed_at: float
    crashes: dict[int, Loss] = {}
    unresolved: dict[int, Loss] = {}
    answers: dict[int, int] = {}
    asked_at: float = -math.inf

    def losses(self, now):
        """Return the losses that count, by id."""
        since = now - UNRESOLVED_SECONDS
        recent = {n: e for n, e in self.unresolved.items() if e.at > since}
        return recent | self.crashes

    @property
    def last_at(self):
        """When it last crashed an endpoint, or was asked for in vain."""
        crashed_at = max((e.at for e in self.crashes.values()), default=0.0)
        return max(crashed_at, self.asked_at)

    def add_loss(self, crash_id, loss, certain):
        """Add a loss; return whether it is new."""
        if crash_id in self.crashes:
            return False
        losses = self.crashes if certain else self.unresolved
        if crash_id in losses or len(losses) >= MAX_KEPT_CRASHES:
            return False
        losses[crash_id] = loss
        if certain:
            self.unresolved.pop(crash_id, None)
        return True

    def drop_unresolved(self, before):
        """Drop the unresolved losses up to a time."""
        self.unresolved = {
            n: e for n, e in self.unresolved.items() if e.at > before
        }

    def add_answer(self, key):
        """Count an answer; return the count, None if it is not kept."""
        return self._set_answers(key, self.answers.get(key, 0) + 1)

    def merge_answers(self, answers):
        """Take over the higher counts; return whether there were any."""
        added = [
            self._set_answers(key, min(count, MAX_OWN_ANSWERS))
            for key, count in answers.items()
        ]
        return any(added)

    def _set_answers(self, key, count):
        known = self.answers.get(key, 0)
        is_full = len(self.answers) >= MAX_ANSWERERS and not known
        if count <= known or count > MAX_OWN_ANSWERS or is_full:
            return None
        self.answers[key] = count
        return count

    def count_answers(self, account=None):
        """Return the answers of an account, or of all."""
        return sum(
            count
            for key, count in self.answers.items()
            if account in (None, key >> _ACCOUNT_BITS)
        )
