"""Whether an answer has been received to its end.

The end of a connection is not the end of a message: a process that exits ends
its connections as well.  An event stream has no last event by which its end
could be told; half an event only shows that it is broken.

References
----------
RFC 9112, "HTTP/1.1", section 8, on incomplete messages.
"""

__all__ = ['End', 'Evidence', 'Process', 'judge', 'depends_on_process']

import enum

from ibisring_policy.gateway import framing
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
