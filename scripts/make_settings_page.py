"""Generates docs/settings.md from settings classes and their docstrings."""

import inspect
import pathlib
import re

import msgspec

from sedgering import mesh
from sedgering import settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
HEADER = """# Settings

All settings are YAML. An unknown key, a wrong type or a value outside its
range ends a program with status 2 and one line with a code of docs/errors.md.
Written by `scripts/make_settings_page.py`; a test compares this page with
the code.
"""
#: Settings classes, each with the option or key where it is written.
CLASSES = (
    (mesh.MeshSettings, '`sedgering-mesh --config FILE`'),
    (settings.OperatorSettings, '`sedgering ... --config FILE`'),
    (settings.ProxySettings, '`sedgering-proxy --config FILE`'),
    (settings.PlatformSettings, 'key `platform` of both'),
    (settings.DistributionSettings, 'key `distribution` of a proxy'),
    (settings.MembershipSettings, 'key `membership` of a proxy'),
    (settings.TrafficSettings, 'key `traffic` of a proxy'),
)
_PARAMETER = re.compile(r'^([a-z_0-9, ]+) : (.+)$|^([a-z_0-9, ]+)$')


def make_page() -> str:
    """Make the text of the page from the fields of all classes."""
    parts = [HEADER]
    for settings_class, place in CLASSES:
        parts.append(f'\n## {settings_class.__name__}: {place}\n')
        parts.append('\n| key | default | meaning |\n|---|---|---|\n')
        meanings = _read_meanings(settings_class)
        for field in msgspec.structs.fields(settings_class):
            default = _format_default(field)
            meaning = meanings.get(field.name, '')
            parts.append(f'| `{field.name}` | {default} | {meaning} |\n')
    return ''.join(parts)


def _read_meanings(settings_class: type) -> dict[str, str]:
    """Return parameter descriptions by name from a numpydoc docstring."""
    text = inspect.cleandoc(settings_class.__doc__)
    _head, _heading, body = text.partition('Parameters\n----------\n')
    meanings: dict[str, list[str]] = {}
    names: list[str] = []
    for line in body.splitlines():
        if line.startswith(' '):
            for name in names:
                meanings[name].append(line.strip())
        elif match := _PARAMETER.match(line):
            listed = match.group(1) or match.group(3)
            names = [name.strip() for name in listed.split(',')]
            meanings.update({name: [] for name in names})
    return {name: ' '.join(lines) for name, lines in meanings.items()}


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    default = field.default
    if isinstance(default, msgspec.Struct):
        return 'see below'
    return f'`{default}`'


if __name__ == '__main__':
    PAGE.write_text(make_page())
