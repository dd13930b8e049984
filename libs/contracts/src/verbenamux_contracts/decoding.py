"""Errors of decoding bytes that another program wrote."""

import msgspec

# A value nested too deeply raises RecursionError, which is no MsgspecError.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
