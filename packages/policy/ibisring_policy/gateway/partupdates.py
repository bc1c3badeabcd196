"""What routers send each other about features; ages in place of times."""

__all__ = ['PartUpdate', 'make_update', 'read_losses', 'read_asked_at']

import math

import msgspec

from ibisring_policy.gateway import partevidence
from ibisring_records import received

MAX_ANSWERERS_SENT = 8
MS_PER_SECOND = 1000.0


class PartUpdate(msgspec.Struct, array_like=True):
    """What a router sends to others about a feature.

    `crashes` and `unresolved` give the age in milliseconds and the account
    of each loss by its id; `answers` the number of answers by account and
    router; `asked_ms` the time since a request was last refused for it.
    """

    feature: received.Digest
    crashes: dict[received.CrashId, tuple[received.Integer, received.CrashId]]
    unresolved: dict[
        received.CrashId, tuple[received.Integer, received.CrashId]
    ] = {}
    answers: dict[received.CrashId, received.Integer] = {}
    asked_ms: received.Integer | None = None


def make_update(name, evidence, now):
    """Return the `PartUpdate` of a feature's evidence."""
    answers = sorted(
        evidence.answers.items(), key=lambda each: each[1], reverse=True
    )
    asked_ms = None
    if not math.isinf(evidence.asked_at):
        asked_ms = _age_ms(evidence.asked_at, now)
    return PartUpdate(
        name,
        _ages(evidence.crashes, now),
        _ages(evidence.unresolved, now),
        dict(answers[:MAX_ANSWERERS_SENT]),
        asked_ms,
    )


def read_losses(ages, now):
    """Return the losses of an update by id, without impossible ones."""
    return {
        crash_id: partevidence.Loss(now - age_ms / MS_PER_SECOND, account)
        for crash_id, (age_ms, account) in ages.items()
        if age_ms >= 0
    }


def read_asked_at(update, now):
    """Return when a request was refused for a feature, minus infinity if none.

    Parameters
    ----------
    update : PartUpdate
    now : float
    """
    if update.asked_ms is None or update.asked_ms < 0:
        return -math.inf
    return now - update.asked_ms / MS_PER_SECOND


def _age_ms(at, now):
    return max(0, int((now - at) * MS_PER_SECOND))


def _ages(losses, now):
    return {n: (_age_ms(e.at, now), e.account) for n, e in losses.items()}
