"""Decisions of the gateway, which routes over chains of engines; no I/O."""
