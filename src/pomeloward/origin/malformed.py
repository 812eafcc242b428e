"""What decoding raises on bytes that another process chose."""

import msgspec

# Deep nesting raises RecursionError in msgspec; text that is no UTF-8 raises
# UnicodeError in some decoders.
MALFORMED = (msgspec.MsgspecError, UnicodeError, RecursionError)
