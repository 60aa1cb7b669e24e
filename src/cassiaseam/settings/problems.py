"""Problems in a settings file, with the expected format."""

from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

MAX_VALUE_CHARS = 80
MAPPING_FORM = 'a mapping with these keys'
NAME_FORM = "a name of letters, digits, '_', '.' and '-', at most 63 characters"
SERVICE_FORM = "a name or '*'"

_FORMS = {
    'extra_forbidden': 'no such key',
    'missing': 'a value, this key is mandatory',
    'string_type': 'a text',
    'int_type': 'a whole number',
    'int_parsing': 'a whole number',
    'int_from_float': 'a whole number',
    'tuple_type': 'a list',
    'dict_type': 'a mapping',
    'model_type': MAPPING_FORM,
    'path_type': 'a file name',
    'url_type': 'a URL such as http://10.0.0.5:8200',
    'url_parsing': 'a URL such as http://10.0.0.5:8200',
    'url_scheme': 'a URL such as http://10.0.0.5:8200',
}
_TEMPLATES = {
    'greater_than_equal': 'a number of at least {ge}',
    'less_than_equal': 'a number of at most {le}',
    'too_short': 'at least {min_length} entries',
    'too_long': 'at most {max_length} entries',
    'enum': 'one of {expected}',
    'literal_error': 'one of {expected}',
}


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """Problem in a settings file.

    Attributes:
        file: Path of the settings file.
        key: Key path, such as `listen.callers` or `users[0].name`.
        value: Text of the actual value.
        expected: Description of the expected format.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.file}: {self.key or "file"}: found {self.value}, expected {self.expected}'


def describe_validation_errors(file: str, error: ValidationError) -> list[SettingsProblem]:
    """Convert the errors of pydantic to problems."""
    return [
        SettingsProblem(file, format_key(item['loc']), _show_value(item), _show_form(item))
        for item in error.errors(include_url=False)
    ]


def format_key(location: tuple[int | str, ...]) -> str:
    """Return a key path such as `users[0].name`."""
    parts = [f'[{it}]' if isinstance(it, int) else f'.{it}' for it in location if it != '[key]']
    return ''.join(parts).lstrip('.')


def _show_value(item: Any) -> str:
    if item['type'] == 'missing':
        return 'nothing'
    found = item['input']
    if isinstance(found, dict):
        return f'a mapping with keys {", ".join(map(str, found))}'[:MAX_VALUE_CHARS]
    return repr(found)[:MAX_VALUE_CHARS]


def _show_form(item: Any) -> str:
    kind = item['type']
    context = item.get('ctx', {})
    if kind == 'value_error':
        return str(context['error'])
    if kind == 'string_pattern_mismatch':
        return SERVICE_FORM if r'\*' in context['pattern'] else NAME_FORM
    template = _TEMPLATES.get(kind)
    if template is not None:
        return template.format(**context)
    return _FORMS.get(kind) or item['msg']
