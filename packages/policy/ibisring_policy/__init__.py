"""Decision logic of the router, with time and randomness passed in.

No module here does I/O, reads a clock or starts a thread, so that fuzz
tests, benchmarks and the router run the same code.
"""
