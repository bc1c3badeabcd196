"""Clients of what the platform gives, behind abstract interfaces."""
