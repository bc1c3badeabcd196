"""Forwarding of opaque requests to endpoints that others run."""
