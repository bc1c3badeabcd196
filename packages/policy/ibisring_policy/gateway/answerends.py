"""Whether an answer has been received to its end.

The end of a connection is not the end of a message: a process that exits ends
its connections as well.  An event stream has no last event by which its end
could be told; half an event only shows that it is broken.

References
----------
RFC 9112, "HTTP/1.1", section 8, on incomplete messages.
"""

__all__ = [
    'End',
    'Evidence',
    'Process',
    'Signs',
    'judge',
    'depends_on_process',
    'may_still_answer',
]

import enum

from ibisring_policy import framing
import msgspec


class Process(enum.StrEnum):
    """What is known of an endpoint's process after the end of its answer.

    `RUNNING` means that it has accepted a connection since.
    """

    RUNNING = 'running'
    EXITED = 'exited'
    UNKNOWN = 'unknown'


class End(enum.StrEnum):
    """The end of an answer.

    A `BROKEN` one is not known to be whole, and must not look so to a caller.
    """

    SOUND = 'sound'
    BROKEN = 'broken'


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """What was received of an answer by the time it ended.

    Attributes
    ----------
    framing : framing.Framing
    has_mark : bool
        Whether the mark that the framing promises was received: all of the
        declared length, or the last chunk.  `CLOSE` promises none.
    is_inside_event : bool
        Whether it ended inside an event of a stream.
    process : Process
    """

    framing: framing.Framing
    has_mark: bool = False
    is_inside_event: bool = False
    process: Process = Process.UNKNOWN


def judge(evidence):
    """Return whether an answer is known to be whole.

    Parameters
    ----------
    evidence : Evidence

    Returns
    -------
    End

    Examples
    --------
    >>> judge(Evidence(framing=framing.Framing.CHUNKS, has_mark=True)).value
    'sound'
    >>> judge(Evidence(framing=framing.Framing.CLOSE)).value
    'broken'
    """
    if evidence.is_inside_event:
        return End.BROKEN
    is_proven = evidence.has_mark
    if evidence.framing is framing.Framing.CLOSE:
        is_proven = evidence.process is Process.RUNNING
    return End.SOUND if is_proven else End.BROKEN


class Signs(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of an endpoint that is silent.

    Attributes
    ----------
    process : Process
    has_entry : bool
        Whether it is still registered.
    has_restarted : bool
        Whether its entry is of a later start than the request.
    reaches_another : bool
        Whether the router reaches another endpoint, so that its own links
        are not cut.
    """

    process: Process
    has_entry: bool
    has_restarted: bool
    reaches_another: bool


def may_still_answer(signs):
    """Return whether a silent endpoint may still answer a request.

    Silence alone shows nothing, nor does one sign that a cut link or a
    registry without the entry explains as well.

    Parameters
    ----------
    signs : Signs

    Examples
    --------
    >>> may_still_answer(
    ...     Signs(
    ...         process=Process.EXITED,
    ...         has_entry=True,
    ...         has_restarted=False,
    ...         reaches_another=True,
    ...     )
    ... )
    False
    """
    if signs.has_restarted:
        return False
    if signs.process is Process.RUNNING:
        return True
    if signs.process is Process.EXITED:
        return signs.has_entry and not signs.reaches_another
    return signs.has_entry or not signs.reaches_another


def depends_on_process(evidence):
    """Return whether it matters if the endpoint's process is running.

    Examples
    --------
    >>> depends_on_process(Evidence(framing=framing.Framing.CLOSE))
    True
    >>> depends_on_process(Evidence(framing=framing.Framing.LENGTH))
    False
    """
    ends = {
        judge(msgspec.structs.replace(evidence, process=process))
        for process in Process
    }
    return len(ends) > 1
