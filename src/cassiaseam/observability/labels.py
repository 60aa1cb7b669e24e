"""Label values in the Prometheus text format."""

_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


def quote_label(value: str) -> str:
    """Return a label value in quotes; characters that UTF-8 cannot hold become escapes."""
    encodable = value.encode(errors='backslashreplace').decode()
    return f'"{encodable.translate(_ESCAPES)}"'
