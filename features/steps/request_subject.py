"""A data path with scripted targets, and its callers."""

import contextlib
import http.client
import random
import socket

import scripted_target

from sedgering import bundle as bundles
from sedgering import membership
from sedgering import observability
from sedgering.proxy import _data_path
from sedgering.proxy import _guard
from sedgering.proxy import _shared
from sedgering import settings
from sedgering import testing

TIMEOUT_MS = 1000
WAIT_S = 5.0
HOST = 'host.example'
PATHS = {
    'repeatable': '/read',
    'non-repeatable': '/write',
    'hedged': '/hedged',
}
METHODS = {'repeatable': 'GET', 'non-repeatable': 'POST', 'hedged': 'GET'}


def make_content():
    policies = (
        bundles.Policy('p', timeout_ms=TIMEOUT_MS, attempts=3),
        bundles.Policy(
            'hedged',
            timeout_ms=TIMEOUT_MS,
            attempts=2,
            hedge_after_ms=50,
        ),
    )
    share = (bundles.WeightedTargetSet('s'),)

    def route(kind, policy):
        return bundles.Route(
            kind,
            'party',
            HOST,
            PATHS[kind],
            share,
            policy,
            repeatable=kind != 'non-repeatable',
        )

    return bundles.make_bundle(
        'mesh',
        policies,
        (bundles.TargetSet('s', 'party'),),
        (
            route('repeatable', 'p'),
            route('non-repeatable', 'p'),
            route('hedged', 'hedged'),
        ),
    )


class Answer:
    """What a caller got."""

    def __init__(self, told, body=b'', headers=None, status=0):
        self.told = told
        self.body = body
        self.headers = headers or {}
        self.status = status


class RequestSubject:
    """A data path, its targets and its callers."""

    def __init__(self, seed=1, engine=None):
        self.engine = engine
        (self.port,) = testing.free_ports(1)
        own = settings.ProxySettings(
            mesh='mesh',
            host='host',
            data_centre='dc',
            address='127.0.0.1',
            data_port=self.port,
            peer_port=1,
            admin_port=2,
            platform=settings.PlatformSettings(address='127.0.0.1', port=3),
            traffic=settings.TrafficSettings(
                threads=12, caller_timeout_ms=30_000, retry_floor_per_s=100
            ),
        )
        self.targets = []
        self.view = membership.TargetView()
        holder = bundles.BundleHolder('mesh')
        holder.apply(1, b'd', make_content())
        self.state = _shared.RequestState(
            own,
            holder,
            self.view,
            observability.make_metrics(),
            self.make_guard(),
            random.Random(seed),
            0,
        )
        self.state.gate.is_open = True
        self.path = _data_path.make_data_path(own, self.state)
        self.path.server.shutdown_timeout = 0.2
        self.path.start()
        self.numbers = iter(range(10_000))
        self.answers = {}

    def make_guard(self):
        self.engine = self.engine or testing.PlatformEngine()
        guard = _guard.RepeatGuard(
            testing.InMemoryPlatform(self.engine), 1000, lambda: 1
        )
        guard.start()
        return guard

    def stop(self):
        self.path.stop()
        for target in self.targets:
            target.stop()

    def add_target(self, behaviour):
        target = scripted_target.ScriptedTarget(behaviour)
        self.targets.append(target)
        endpoint = membership.Endpoint(
            f't{len(self.targets)}',
            'host',
            'dc',
            '127.0.0.1',
            target.port,
            12,
        )
        known = self.view.by_set.get('s', ())
        self.view.by_set = {'s': (*known, endpoint)}

    def send(self, kind, headers=None, body=None, path=None):
        """Send a request and say what its caller was told."""
        name = f'r{next(self.numbers)}'
        caller = http.client.HTTPConnection(
            '127.0.0.1', self.port, timeout=WAIT_S
        )
        try:
            caller.request(
                METHODS[kind],
                path or PATHS[kind],
                body,
                {'Host': HOST, 'X-Request-Id': name, **(headers or {})},
            )
            response = caller.getresponse()
            answer = Answer(
                response.headers.get('X-Sedgering-Outcome', 'answer'),
                response.read(),
                response.headers,
                response.status,
            )
            if answer.told == 'answer' and answer.body != name.encode():
                answer.told = 'wrong'
        except TimeoutError:
            answer = Answer('nothing')
        except (http.client.HTTPException, OSError):
            answer = Answer('cut')
        finally:
            caller.close()
        self.answers[name] = answer
        return answer

    def runs(self, name):
        return sum(target.ran.count(name) for target in self.targets)

    def send_raw(self, data):
        """Send bytes; return all that comes until the end."""
        with socket.create_connection(('127.0.0.1', self.port)) as caller:
            caller.settimeout(WAIT_S)
            caller.sendall(data)
            with contextlib.suppress(OSError):
                # The proxy may have refused what it read, and closed.
                caller.shutdown(socket.SHUT_WR)
            received = b''
            try:
                while piece := caller.recv(65536):
                    received += piece
            except OSError:
                pass
            return received
