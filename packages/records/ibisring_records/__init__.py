"""Configuration records, their schemas, and the shared error classes."""
