"""The ASGI application that callers connect to."""
