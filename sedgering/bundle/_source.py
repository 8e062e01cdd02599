"""Loading of bundles from the YAML files that operators write."""

import pathlib

import msgspec

from sedgering.bundle import _model
from sedgering.bundle import _validation
from sedgering import exceptions

__all__ = ['load_bundle']


def load_bundle(path: pathlib.Path) -> _model.Bundle:
    """Load a bundle file, sort its objects by name and validate it.

    Parameters
    ----------
    path : Path
        YAML file with the fields of :class:`Bundle`.

    Returns
    -------
    Bundle
        Valid bundle whose objects are in canonical order.

    Raises
    ------
    BundleError
        If the file cannot be read or the bundle is invalid; the message
        contains the path of the invalid key.
    """
    # Imported lazily: daemons import this module but load no bundle files.
    import yaml

    try:
        document = yaml.safe_load(path.read_text(encoding='utf-8'))
        bundle = msgspec.convert(document, _model.Bundle)
    except (OSError, UnicodeError, yaml.YAMLError) as error:
        raise _make_unreadable_error(path, error) from error
    except msgspec.ValidationError as error:
        raise _make_unreadable_error(path, error) from error
    ordered = _model.make_bundle(
        bundle.mesh,
        bundle.policies,
        bundle.target_sets,
        bundle.routes,
        bundle.workspaces,
        bundle.keyed_routes,
    )
    return _validation.check_bundle(ordered)


def _make_unreadable_error(
    path: pathlib.Path, error: Exception
) -> exceptions.BundleError:
    first_line = str(error).splitlines()[0]
    return exceptions.BundleError(
        exceptions.Code.BUNDLE_UNREADABLE, f'{path.name}: {first_line}'
    )
