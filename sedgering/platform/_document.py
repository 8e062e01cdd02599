"""Decodes the operator's configuration document into a bundle."""

from typing import Annotated
from typing import Any

import msgspec

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import mesh
from sedgering.platform import _wire
from sedgering import transport

__all__ = ['DocumentDecoder', 'MESH', 'decode_document']

#: Name of the mesh in bundles made from the operator's document.
MESH = 'platform'
#: Owner of all routes and target sets: the document names none.
OWNER = base.PartyId('operator')
#: Kinds of routes whose requests may be executed more than once.  Responses
#: on routes of the kind `download` are large.
REPEATABLE_KINDS = frozenset(('safe', 'download'))


#: At least 1: a limit of 0 would refuse every caller.
_SizeBytes = Annotated[int, msgspec.Meta(ge=1, le=2**53 - 1)]
#: An integer that daemons can encode for one another: a version is passed on
#: before its ranges are checked.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**53) + 1, le=2**53 - 1)]


class _Metadata(msgspec.Struct):
    name: str = ''


class _Resource(msgspec.Struct):
    resource_type: str
    spec: dict[str, Any]
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)


class _Document(msgspec.Struct):
    version: str
    #: Encoded; :class:`DocumentDecoder` decodes each one.
    resources: list[msgspec.Raw]


class _Share(msgspec.Struct):
    service: str
    weight: _Integer


class _Route(msgspec.Struct):
    host: str
    prefix: str
    kind: str
    #: Longest time that a caller waits for a response.
    timeout: str
    #: Time within which callers want a response.
    target_latency: str = '0ms'
    priority: _Integer = 0
    #: Most targets to which one request of a caller may be sent.
    attempts: _Integer = 1
    #: Target set of the route; unused when `split` names several.
    service: str = ''
    split: list[_Share] = []
    #: Whether callers may omit the API key.
    public: bool = False


class _Tenant(msgspec.Struct):
    api_keys: list[str] = []
    priority: _Integer = 0
    #: Requests per second; 0 for no limit.
    rate_per_s: _Integer = 0
    burst: _Integer = 0


class _Service(msgspec.Struct):
    health_path: str = ''
    max_connections: _Integer = 130


class _Limits(msgspec.Struct):
    max_header_bytes: _SizeBytes
    max_body_bytes: _SizeBytes
    header_timeout: str
    idle_timeout: str


class _RouteItem(msgspec.Struct, frozen=True):
    route: bundles.Route
    policy: bundles.Policy
    is_public: bool


class _ServiceItem(msgspec.Struct, frozen=True):
    target_set: bundles.TargetSet
    health_path: str


#: One decoded resource of the document; None for types that are not used.
_Item = (
    _RouteItem
    | _ServiceItem
    | bundles.Workspace
    | transport.CallerLimits
    | None
)


class DocumentDecoder:
    """Decodes successive documents.

    A resource whose bytes did not change since the previous document keeps
    its decoded object.  A new version usually changes a few of 1,200 routes,
    and the code that validates or compares bundles skips objects that it has
    already seen.
    """

    def __init__(self):
        self._items: dict[bytes, _Item] = {}

    def decode(self, data: bytes) -> mesh.AcceptedConfig:
        """Decode the document from the operator's row.

        Raises
        ------
        BundleError
            When it is malformed.  The rules for bundles are checked later.
        """
        try:
            document = msgspec.json.decode(data, type=_Document)
            items = self._decode_items(document)
            return _make_config(document, items)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise exceptions.BundleError(
                exceptions.Code.BUNDLE_UNREADABLE, str(error)
            ) from error

    def _decode_items(self, document: _Document) -> list[_Item]:
        previous = self._items
        resources = list(map(bytes, document.resources))
        self._items = {
            data: previous[data] if data in previous else _decode_item(data)
            for data in resources
        }
        return [self._items[data] for data in resources]


def decode_document(data: bytes) -> mesh.AcceptedConfig:
    """Decode a single document; see :class:`DocumentDecoder`."""
    return DocumentDecoder().decode(data)


def _decode_item(data: bytes) -> _Item:
    resource = msgspec.json.decode(data, type=_Resource)
    name = resource.metadata.name
    if resource.resource_type == 'routes':
        spec = msgspec.convert(resource.spec, _Route)
        return _RouteItem(
            _make_route(name, spec), _make_policy(name, spec), spec.public
        )
    if resource.resource_type == 'services':
        service = msgspec.convert(resource.spec, _Service)
        return _ServiceItem(
            _make_target_set(name, service), service.health_path
        )
    if resource.resource_type == 'tenants':
        return _make_workspace(name, msgspec.convert(resource.spec, _Tenant))
    if resource.resource_type == 'limits':
        return _make_limits(msgspec.convert(resource.spec, _Limits))
    return None


def _make_config(
    document: _Document, items: list[_Item]
) -> mesh.AcceptedConfig:
    routes = [item for item in items if isinstance(item, _RouteItem)]
    services = [item for item in items if isinstance(item, _ServiceItem)]
    workspaces = [
        item for item in items if isinstance(item, bundles.Workspace)
    ]
    limits = transport.CallerLimits()
    for item in items:
        if isinstance(item, transport.CallerLimits):
            limits = item
    return mesh.AcceptedConfig(
        version=_wire.parse_version(document.version),
        bundle=bundles.make_bundle(
            MESH,
            tuple(item.policy for item in routes),
            tuple(item.target_set for item in services),
            tuple(item.route for item in routes),
            tuple(workspaces),
            _list_routes_with_key(routes) if workspaces else (),
        ),
        limits=limits,
        health_paths={
            item.target_set.name: item.health_path for item in services
        },
    )


def _list_routes_with_key(
    routes: list[_RouteItem],
) -> tuple[base.RouteName, ...]:
    return tuple(item.route.name for item in routes if not item.is_public)


def _make_workspace(name: str, spec: _Tenant) -> bundles.Workspace:
    digests = map(access.compute_key_digest, spec.api_keys)
    return bundles.Workspace(
        name=base.WorkspaceName(name),
        # Without duplicates, in the order of the document.
        key_digests=tuple(dict.fromkeys(digests)),
        priority=spec.priority,
        rate_per_s=spec.rate_per_s,
        burst=spec.burst,
    )


def _make_route(name: str, spec: _Route) -> bundles.Route:
    shares = spec.split or [_Share(spec.service, 1)]
    return bundles.Route(
        name=base.RouteName(name),
        party=OWNER,
        host=spec.host.lower(),
        path_prefix=spec.prefix,
        targets=tuple(
            bundles.WeightedTargetSet(
                base.TargetSetName(share.service), share.weight
            )
            for share in shares
        ),
        policy=base.PolicyName(name),
        repeatable=spec.kind in REPEATABLE_KINDS,
    )


def _make_policy(name: str, spec: _Route) -> bundles.Policy:
    return bundles.Policy(
        name=base.PolicyName(name),
        timeout_ms=_wire.parse_duration_ms(spec.timeout),
        attempts=spec.attempts,
        latency_goal_ms=_wire.parse_duration_ms(spec.target_latency),
        priority=spec.priority,
    )


def _make_target_set(name: str, spec: _Service) -> bundles.TargetSet:
    return bundles.TargetSet(
        name=base.TargetSetName(name),
        party=OWNER,
        connections=spec.max_connections,
    )


def _make_limits(spec: _Limits) -> transport.CallerLimits:
    return transport.CallerLimits(
        header_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        header_timeout_ms=_parse_timeout_ms(spec.header_timeout),
        idle_timeout_ms=_parse_timeout_ms(spec.idle_timeout),
    )


def _parse_timeout_ms(text: str) -> int:
    timeout_ms = _wire.parse_duration_ms(text)
    if not timeout_ms:
        raise ValueError('the timeout must be greater than 0')
    return timeout_ms
