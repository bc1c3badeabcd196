"""Fault switches of the stand-ins."""

__all__ = ['PlatformFaults', 'EngineFaults', 'ServiceFaults']

import msgspec


class PlatformFaults(msgspec.Struct):
    """How the platform's stores fail.

    `down` refuses every request.  `lose_answers` is how many of the next
    commits take effect without a response.  `delay` is in seconds before
    each response.
    """

    down: bool = False
    lose_answers: int = 0
    delay: float = 0.0


class EngineFaults(msgspec.Struct):
    """How an engine fails.

    `die_at` is the token position at which this stage fails its step (-1
    for never).  `silence_at` is the position at which open streams stop
    sending for good, while new ones work.  `cut_at` is the position of which
    only half of the event is sent before the connection closes.
    `repeat_events` sends each event twice.  `never_answer` accepts requests
    without ever responding.  `refuse` responds that the request has not
    begun.  `step_delay` delays each step by so many seconds.  `dies`,
    `silences` and `cuts` are how many times the fault still occurs.
    """

    die_at: int = -1
    dies: int = 1
    silence_at: int = -1
    silences: int = 1
    cut_at: int = -1
    cuts: int = 1
    repeat_events: bool = False
    never_answer: bool = False
    refuse: bool = False
    step_delay: float = 0.0


class ServiceFaults(msgspec.Struct):
    """How a plain service fails.

    `lose_answers` calls run, but their responses are truncated; `fail` calls
    get status 500 after they ran; `refuse` responds that the call has not
    begun; `hang` accepts calls without ever responding; `delay` is in
    seconds.
    """

    lose_answers: int = 0
    fail: int = 0
    refuse: bool = False
    hang: bool = False
    delay: float = 0.0
