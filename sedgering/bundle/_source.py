"""Bundles as operators write them: YAML files."""

import pathlib

import msgspec

from sedgering.bundle import _model
from sedgering.bundle import _validation
from sedgering import exceptions

__all__ = ['load_bundle']


def load_bundle(path: pathlib.Path) -> _model.Bundle:
    """Read, sort and validate a bundle file.

    Parameters
    ----------
    path : Path
        YAML with the fields of :class:`Bundle`.

    Returns
    -------
    Bundle
        Valid and in canonical order.

    Raises
    ------
    BundleError
        With the path of the offending key.
    """
    # Imported here: daemons read no bundle files.
    import yaml

    try:
        document = yaml.safe_load(path.read_text(encoding='utf-8'))
        bundle = msgspec.convert(document, _model.Bundle)
    except (OSError, UnicodeError, yaml.YAMLError) as error:
        raise _unreadable(path, error) from error
    except msgspec.ValidationError as error:
        raise _unreadable(path, error) from error
    ordered = _model.make_bundle(
        bundle.mesh,
        bundle.policies,
        bundle.target_sets,
        bundle.routes,
        bundle.workspaces,
        bundle.keyed_routes,
    )
    return _validation.check_bundle(ordered)


def _unreadable(
    path: pathlib.Path, error: Exception
) -> exceptions.BundleError:
    first_line = str(error).splitlines()[0]
    return exceptions.BundleError(
        exceptions.Code.BUNDLE_UNREADABLE, f'{path.name}: {first_line}'
    )
