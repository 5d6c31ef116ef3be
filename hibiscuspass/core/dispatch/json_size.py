"""Bound on the values in a JSON body, checked before it is decoded."""

# A message with role and content counts as 5, as does a text part, so the most
# messages and text parts that are allowed come to 61,440. So many empty arrays
# take about 30 ms to decode and check; 4 MB of them took over 200 ms.
MAX_JSON_VALUES = 131_072


def exceeds_limit(raw: bytes) -> bool:
    """Returns whether a body has too many arrays, objects and strings.

    Decoding takes an allocation for each of them and holds up the event loop
    meanwhile. Numbers and literals take so little that the limit on the bytes
    of a body bounds them. Object keys count as strings. The count is exact for
    valid JSON and takes no Python step per value.
    """
    if raw.count(b'"') // 2 + _count_brackets(raw) <= MAX_JSON_VALUES:
        return False
    # Escaped quotes do not end a string; escaped backslashes do not escape.
    plain = raw.replace(b"\\\\", b"").replace(b'\\"', b"")
    strings = plain.count(b'"') // 2
    if strings > MAX_JSON_VALUES:
        return True
    outside = b"".join(plain.split(b'"')[::2])
    return strings + _count_brackets(outside) > MAX_JSON_VALUES


def _count_brackets(raw: bytes) -> int:
    return raw.count(b"[") + raw.count(b"{")
