"""Base of the threads that disrupt a world beside the scheduled faults."""

__all__ = ['Disruption']

import abc
import random
import threading


class Disruption(abc.ABC):
    """A thread that disrupts a world until it is stopped.

    Parameters
    ----------
    world : world.World
    seed : str
        Seed of the random numbers.

    Attributes
    ----------
    stopped : threading.Event
        Set once the thread should exit.
    """

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()

    def stop(self):
        """Stop the thread, which first undoes what it has done."""
        self.stopped.set()
        self.thread.join()

    @abc.abstractmethod
    def _loop(self):
        """Disrupt the world until `stopped` is set."""
