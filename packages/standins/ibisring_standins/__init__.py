"""Small stand-ins for the platform, model engines and plain services.

They implement the same protocols over HTTP, inject the failures of the real
ones on request, and keep a ledger of everything that ran for tests to check.
"""
