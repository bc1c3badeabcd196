"""Which features are refused to an account, by the evidence of all."""

__all__ = ['find_causes']

from ibisring_policy.gateway import crashcauses
from ibisring_policy.gateway import promptfeatures


def find_causes(evidence, priors, account, now):
    """Find the causes for all, then those that an account adds to them.

    A part that others are answered on is no cause for all, yet one account's
    requests may crash endpoints under its name.

    Parameters
    ----------
    evidence : dict of bytes to partevidence.FeatureEvidence
    priors : PriorAnswers
        Answers from before the evidence.
    account : int
    now : float

    Returns
    -------
    list of crashcauses.Cause
    """
    losses = {name: each.losses(now) for name, each in evidence.items()}
    everyone = [
        _evidence(
            name, losses[name], priors.count(name) + each.count_answers()
        )
        for name, each in evidence.items()
        if losses[name]
    ]
    found, explained = [], set()
    for cause in crashcauses.find(everyone):
        crashes = _crashes_of(cause, losses)
        explained |= crashes.keys()
        accounts = {loss.account for loss in crashes.values()}
        if len(accounts) > 1 or account in accounts:
            found.append(cause)
    answers = {each.feature: each.answers for each in everyone}
    own = [
        _evidence(
            name,
            own_losses,
            priors.count(name, account)
            + evidence[name].count_answers(account),
            answers[name],
        )
        for name, own_losses in _losses_of(account, losses, explained)
    ]
    return found + crashcauses.find(own)


def _evidence(name, losses, answers, answers_elsewhere=0):
    return crashcauses.Evidence(
        name,
        {crash_id: loss.at for crash_id, loss in losses.items()},
        answers,
        answers_elsewhere,
        promptfeatures.is_whole(name),
    )


def _crashes_of(cause, losses):
    """Return the losses that a cause explains, by id."""
    found = {}
    for name in cause.features:
        found |= losses[name]
    return found


def _losses_of(account, losses, explained):
    """Yield the losses of an account that are not explained, by feature."""
    for name, each in losses.items():
        own = {
            crash_id: loss
            for crash_id, loss in each.items()
            if loss.account == account and crash_id not in explained
        }
        if own:
            yield name, own
