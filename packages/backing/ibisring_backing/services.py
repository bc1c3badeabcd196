"""What the router sends to a plain service."""

__all__ = ['REQUEST_HEADER', 'ATTEMPT_HEADER']

REQUEST_HEADER = 'Ibisring-Request'
ATTEMPT_HEADER = 'Ibisring-Attempt'
