"""Encodes a value as the difference from an earlier value.

Load pattern: a configuration of hundreds of kilobytes, of which each change
replaces some bytes, and routers whose links are busy with requests. A
difference has some hundred bytes and arrives at once on any link.

Source: RFC 8878, with the earlier value as a raw content dictionary.
"""

import collections

import attrs
import xxhash
import zstandard

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

# Fast rather than small: routers have a fraction of a core.
_LEVEL = 3
# Earlier values that are kept, next to the newest one. Whoever is further
# behind gets the whole value.
_MAX_EARLIER_VALUES = 4


@attrs.frozen
class Delta:
    """A difference between two values.

    Attributes:
      base: Digest of the earlier value.
      digest: Digest of the later value.
      data: A Zstandard frame.
    """

    base: bytes
    digest: bytes
    data: bytes


def digest(value: bytes) -> bytes:
    """Returns the name of a value, which depends on all of its bytes."""
    return xxhash.xxh3_128_digest(value)


def encode(value: bytes, base: bytes) -> Delta:
    """Returns the difference of a value from an earlier one."""
    params = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(value),
        dict_size=len(base),
        # Finds matches anywhere in the earlier value.
        enable_ldm=True,
        window_log=max(
            zstandard.WINDOWLOG_MIN, (len(base) + len(value)).bit_length()
        ),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_as_dictionary(base), compression_params=params
    )
    return Delta(digest(base), digest(value), compressor.compress(value))


def decode(
    delta: Delta, base: bytes, max_bytes: int
) -> bytes | refusal.Refusal:
    """Applies a difference to an earlier value.

    Args:
      delta: The difference.
      base: The value from which it was made.
      max_bytes: Largest size of the result.

    Returns:
      The later value, or a refusal with `INVALID_REQUEST` if the difference is
      damaged, too large or belongs to another value.
    """
    if delta.base != digest(base):
        return _refuse("it belongs to another value")
    try:
        size = zstandard.get_frame_parameters(delta.data).content_size
        if size > max_bytes:
            return _refuse(f"{size} bytes: at most {max_bytes} are allowed")
        value = zstandard.ZstdDecompressor(
            dict_data=_as_dictionary(base)
        ).decompress(delta.data, max_output_size=max_bytes)
    except zstandard.ZstdError as exc:
        return _refuse(str(exc))
    if delta.digest != digest(value):
        return _refuse("its result has another digest")
    return value


class RecentValues:
    """The newest values, by digest."""

    def __init__(self) -> None:
        self._values: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )

    def add(self, value: bytes) -> None:
        """Adds the newest value; the oldest one is dropped."""
        name = digest(value)
        self._values[name] = value
        self._values.move_to_end(name)
        while len(self._values) > 1 + _MAX_EARLIER_VALUES:
            self._values.popitem(last=False)

    def find(self, name: bytes) -> bytes | None:
        """Returns the value with a digest; None if it is not kept."""
        return self._values.get(name)


def _as_dictionary(value: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _refuse(detail: str) -> refusal.Refusal:
    return refusal.Refusal(
        reason_lib.Reason.INVALID_REQUEST, f"difference: {detail}"
    )
