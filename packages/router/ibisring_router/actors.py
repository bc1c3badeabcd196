"""Base class of the router's actors."""

__all__ = ['MessageActor']

import abc

import pykka


class MessageActor(pykka.ThreadingActor, abc.ABC):
    """An actor with one handler method for each type of message.

    Its thread is a daemon, so the process can exit while it runs.
    """

    use_daemon_thread = True

    def __init__(self):
        super().__init__()
        self.methods = self.handlers()

    @abc.abstractmethod
    def handlers(self):
        """Return the handler method for each type of message.

        Returns
        -------
        dict of type to callable
        """

    def on_receive(self, message):
        return self.methods[type(message)](message)
