"""Steps for settings, result codes and package structure."""

import ast
import pathlib
import re
import runpy
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec
import yaml

from sedgering import exceptions
from sedgering import mesh
from sedgering import platform
from sedgering import settings

ROOT = pathlib.Path(__file__).parent.parent.parent


class SettingsSubject:
    """A settings file and the error from loading it."""

    def __init__(self):
        folder = tempfile.mkdtemp(prefix='sedgering-settings-')
        self.path = pathlib.Path(folder) / 'proxy.yaml'
        self.error = None
        self.document = {
            'mesh': 'tuulai',
            'host': 'host-1',
            'data_centre': 'khan-uul',
            'address': '127.0.0.1',
            'data_port': 8000,
            'peer_port': 8001,
            'admin_port': 8002,
            'platform': {'address': '127.0.0.1', 'port': 9000},
        }

    def change_key(self, key, value):
        *parents, last = key.split('.')
        section = self.document
        for parent in parents:
            section = section.setdefault(parent, {})
        if value is None:
            del section[last]
        else:
            section[last] = value
        self.path.write_text(yaml.safe_dump(self.document))

    def load(self):
        try:
            settings.load_settings(self.path, settings.ProxySettings)
        except exceptions.SettingsError as error:
            self.error = error


@given('proxy settings where {key} is {value}')
def step_settings(context, key, value):
    context.settings = SettingsSubject()
    context.settings.change_key(key, yaml.safe_load(value))


@when('the settings are loaded')
def step_load(context):
    context.settings.load()


@then('they are refused with code {code:d} naming "{named}"')
def step_refused(context, code, named):
    error = context.settings.error
    assert error is not None, 'the settings were accepted'
    assert int(error.code) == code, str(error)
    assert named in str(error), str(error)
    assert '\n' not in str(error)


@when('sedgering-proxy is started with them')
def step_start(context):
    context.completed = subprocess.run(
        [
            *(sys.executable, '-m', 'sedgering.cli.proxy'),
            *('--config', str(context.settings.path)),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it ends with status {status:d} and one line starting with "{start}"')
def step_ended(context, status, start):
    lines = context.completed.stderr.splitlines()
    assert context.completed.returncode == status, lines
    assert len(lines) == 1 and lines[0].startswith(start), lines


@then('docs/errors.md lists every code with its text')
def step_errors_page(context):
    page = (ROOT / 'docs' / 'errors.md').read_text()
    listed = [line for line in page.splitlines() if line.startswith('| SDG-')]
    expected = {
        f'| SDG-{int(code)} | {code.text} ' for code in exceptions.Code
    }
    assert len(listed) == len(expected), (len(listed), len(expected))
    for start in expected:
        assert any(line.startswith(start) for line in listed), start


@then('docs/settings.md equals the page made from the settings classes')
def step_settings_page(context):
    path = ROOT / 'scripts' / 'make_settings_page.py'
    context.page_maker = runpy.run_path(str(path))
    page = (ROOT / 'docs' / 'settings.md').read_text()
    assert page == context.page_maker['make_page']()


@then('every setting has a description')
def step_descriptions(context):
    for settings_class, _place in context.page_maker['CLASSES']:
        meanings = context.page_maker['_read_meanings'](settings_class)
        for field in msgspec.structs.fields(settings_class):
            assert meanings.get(field.name), field.name


@then('no module but the adapter and the simulators uses platform names')
def step_platform_names(context):
    names = [
        *msgspec.structs.astuple(platform.HEADERS),
        *('rows-tx', 'rows-get', 'rows-feed', 'blob-put', 'blob-get'),
        *('schema_version', 'cold_remaining', 'beat_address', 'sidecar'),
        *('target_latency', 'max_connections', 'health_path":'),
    ]
    # This header name is used in all packages.
    names.remove(platform.HEADERS.request_id)
    checked = 0
    for folder in ('sedgering', 'soak'):
        for path in (ROOT / folder).rglob('*.py'):
            if path.relative_to(ROOT).parts[1] in ('platform', 'testing'):
                continue
            checked += 1
            text = path.read_text()
            found = [name for name in names if name in text]
            assert not found, (path, found)
    assert checked > 100, checked


@then('every package imports only what docs/architecture.md lists below it')
def step_imports(context):
    page = (ROOT / 'docs' / 'architecture.md').read_text()
    order = re.findall(r'^    ([a-z]+) {2,}', page, re.MULTILINE)
    assert 'bundle' in order and len(order) == len(set(order)), order
    # The simulators may import every package but cli.  Two programs in cli
    # import them.
    order.insert(order.index('cli') + 1, 'testing')
    package = ROOT / 'sedgering'
    checked = 0
    for path in package.rglob('*.py'):
        package_name = path.relative_to(package).parts[0].removesuffix('.py')
        if package_name == '__init__' or 'gen' in path.parts:
            continue
        for imported in list_runtime_imports(path):
            if imported != package_name:
                checked += 1
                is_below = order.index(imported) > order.index(package_name)
                assert is_below, (
                    f'{path.name} of {package_name} imports {imported}'
                )
    assert checked > 100, checked


def list_runtime_imports(path):
    """Yield the packages that a module imports at the top level.

    Imports under TYPE_CHECKING are excluded.
    """
    tree = ast.parse(path.read_text())
    for node in tree.body:
        if not isinstance(node, ast.ImportFrom):
            continue
        module = node.module or ''
        if module == 'sedgering':
            yield node.names[0].name
        elif module.startswith('sedgering.'):
            yield module.split('.')[1]


@then('twice the default share of the retry budget is less than all of it')
def step_retry_share(context):
    defaults = mesh.MeshSettings()
    assert 2 * defaults.retry_share_percent < 100
    assert defaults.rerun_share_percent <= defaults.retry_share_percent
