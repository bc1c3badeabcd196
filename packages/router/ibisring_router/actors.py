"""Base class of the router's actors."""

__all__ = ['MessageActor']

import abc

from ibisring_router import guards
import pykka


class MessageActor(pykka.ThreadingActor, abc.ABC):
    """An actor with one handler method for each type of message.

    Its thread is a daemon, so the process can exit while it runs.  An
    exception of a handler is raised to whoever waits for the answer; without
    one it is logged, and the actor goes on with the next message.

    Attributes
    ----------
    message_type : type or None
        Of the message being handled, None before the first one.
    """

    use_daemon_thread = True

    def __init__(self):
        super().__init__()
        self.methods = self.handlers()
        self.message_type = None

    @abc.abstractmethod
    def handlers(self):
        """Return the handler method for each type of message.

        Returns
        -------
        dict of type to callable
        """

    def on_receive(self, message):
        self.message_type = type(message)
        return self.methods[type(message)](message)

    def _handle_failure(self, *exc_info):
        """Log the exception of a message that nobody waits for.

        pykka would stop the actor, and whoever sends the next message would
        get an exception.
        """
        if self.message_type is None:
            super()._handle_failure(*exc_info)
            return
        guards.failed(
            f'{type(self).__name__}.{self.message_type.__name__}',
            actor=str(self),
        )
