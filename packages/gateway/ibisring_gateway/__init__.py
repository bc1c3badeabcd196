"""Gateway that forwards opaque requests to endpoints of other operators."""
