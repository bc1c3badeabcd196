"""Validation of plans: chains that run every layer once and in order."""

__all__ = ['check_chain']

from ibisring_records import exceptions


def check_chain(stages, layers):
    """Raise an error if a chain skips, repeats or reorders a layer.

    Parameters
    ----------
    stages : sequence of engines.Stage
        Objects with `endpoint`, `first_layer` and `last_layer`.
    layers : int
        Layers of the model, numbered from 0.

    Raises
    ------
    PlanInvalid

    Notes
    -----
    A gap or an overlap between two layer ranges yields a fluent but wrong
    answer, which is hard to notice.  The router checks a plan when it is
    made, and each stage checks its own range, attempt and position again.
    """
    expected = 0
    for stage in stages:
        if stage.first_layer != expected:
            raise exceptions.PlanInvalid(
                f'{stage.endpoint} begins at layer {stage.first_layer},'
                f' not {expected}'
            )
        if stage.last_layer < stage.first_layer:
            raise exceptions.PlanInvalid(f'{stage.endpoint} holds no layer')
        expected = stage.last_layer + 1
    if expected != layers:
        raise exceptions.PlanInvalid(
            f'the chain ends before layer {expected} of {layers}'
        )
