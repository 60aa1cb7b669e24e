"""HTTP interface of the stand-in platform, design section 5.4, on twisted.web.

`PUT /objects/<key>` takes the JSON value itself as its body. Faults are set with `PUT /faults`,
a JSON object with any of the members of `PlatformFaults`; `/faults` and `/counters` work even
while the platform is down.
"""

import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from pydantic import BaseModel, ConfigDict, NonNegativeInt, ValidationError
from twisted.web import http
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from cassiaseam_standin.platform_store import ObjectStore, VmList, Watch

MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_WATCH_MS = 30_000
MS_PER_S = 1000
# Routes exempt from faults, so that tests can end a fault and read the counters.
CONTROL_ROUTES = frozenset(('faults', 'counters', 'restore'))


class PlatformFaults(BaseModel):
    """Faults in force.

    Attributes:
        down: Every connection is closed without an answer.
        delay_ms: Delay in milliseconds before a call is processed.
        lose_next_write_answers: Number of next object writes that are applied, but whose
            connection is closed without an answer.
        vm_lag_ms: Milliseconds by which the VM list lags behind.
    """

    model_config = ConfigDict(extra='forbid')

    down: bool = False
    delay_ms: NonNegativeInt = 0
    lose_next_write_answers: NonNegativeInt = 0
    vm_lag_ms: NonNegativeInt = 0


class VmEntry(BaseModel):
    """One VM of the list, without its name."""

    model_config = ConfigDict(extra='forbid')

    place: str
    host: str
    peer_port: int
    admin_port: int
    state: str = 'live'


class BadCall(Exception):
    """An invalid call; answered with an error status."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


Route = Callable[['PlatformResource', Request, str], Any]
ROUTES: dict[tuple[str, str], Route] = {}
UNANSWERED = object()


def routes(method: str, name: str) -> Callable[[Route], Route]:
    """Register the function that answers `METHOD /name/...`."""

    def register(route: Route) -> Route:
        ROUTES[method, name] = route
        return route

    return register


def read_argument(request: Request, name: str, default: str) -> str:
    """Return a query argument."""
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def read_number(request: Request, name: str, default: int) -> int:
    """Return a query argument that is a number; raises `BadCall` for other text."""
    text = read_argument(request, name, str(default))
    if not text.isdecimal():
        raise BadCall(http.BAD_REQUEST, f'{name}={text!r} is no number')
    return int(text)


def read_json_body(request: Request) -> Any:
    """Return the parsed body; raises `BadCall` if it is too large or not JSON."""
    if len(request.body) > MAX_VALUE_BYTES:
        message = f'body exceeds {MAX_VALUE_BYTES} bytes'
        raise BadCall(http.REQUEST_ENTITY_TOO_LARGE, message)
    try:
        return json.loads(request.body)
    except ValueError as error:
        raise BadCall(http.BAD_REQUEST, f'body is no JSON: {error}') from None


def read_expected_version(request: Request) -> int:
    """Return the version of the If-Match header; raises `BadCall` without a valid one."""
    text = (request.getHeader('If-Match') or '').strip('"')
    if not text.isdecimal():
        raise BadCall(http.BAD_REQUEST, f'If-Match header {text!r} is no version')
    return int(text)


def send_json(request: Request, status: int, body: Any) -> None:
    """Send the answer with the era of the store, unless the client has disconnected."""
    if request.client_gone:
        return
    request.setResponseCode(status)
    request.setHeader('Store-Era', str(request.site.resource.store.era))
    request.setHeader('Content-Type', 'application/json')
    request.write(json.dumps(body).encode())
    request.finish()


def drop_connection(request: Request) -> None:
    """Close the connection without an answer."""
    if not request.client_gone:
        request.transport.abortConnection()


def track_disconnect(request: Request) -> None:
    """Track whether the client has disconnected; a delayed call is processed even then."""
    request.client_gone = False

    def record_disconnect(_: Any) -> None:
        request.client_gone = True

    request.notifyFinish().addErrback(record_disconnect)


def format_validation_error(error: ValidationError) -> str:
    """Return the locations and reasons of a validation error."""
    details = error.errors(include_url=False)
    return '; '.join(f'{detail["loc"]}: {detail["msg"]}' for detail in details)


class PlatformResource(Resource):
    """All routes of the platform.

    Attributes:
        reactor: Reactor for delays and long polls.
        store: Objects.
        vms: VM list.
        faults: Faults in force.
        counters: Number of calls per method and route, and of conflicts and lost answers.
        waiting: Requests of the long polls, which are closed when the platform goes down.
    """

    isLeaf = True

    def __init__(self, reactor: Any):
        super().__init__()
        self.reactor = reactor
        self.store = ObjectStore()
        self.vms = VmList()
        self.faults = PlatformFaults()
        self.counters: Counter[str] = Counter()
        self.waiting: set[Request] = set()

    def render(self, request: Request) -> int:
        """Answer a call now or after the configured delay."""
        path = unquote(request.path.decode()).lstrip('/')
        route, _, rest = path.partition('/')
        track_disconnect(request)
        # Twisted closes the body with the connection, but a delayed call still needs it.
        request.body = request.content.read(MAX_VALUE_BYTES + 1)
        if route in CONTROL_ROUTES:
            self.answer(request, route, rest)
            return NOT_DONE_YET
        self.counters[f'{request.method.decode()} {route}'] += 1
        if self.faults.delay_ms:
            delay_s = self.faults.delay_ms / MS_PER_S
            self.reactor.callLater(delay_s, self.answer_unless_down, request, route, rest)
        else:
            self.answer_unless_down(request, route, rest)
        return NOT_DONE_YET

    def answer_unless_down(self, request: Request, route: str, rest: str) -> None:
        """Process a call, unless the platform is down."""
        if self.faults.down:
            self.counters['refused'] += 1
            drop_connection(request)
            return
        self.answer(request, route, rest)

    def answer(self, request: Request, route: str, rest: str) -> None:
        """Process a call."""
        handler = ROUTES.get((request.method.decode(), route))
        if handler is None:
            send_json(request, http.NOT_FOUND, {'error': f'no route {route!r}'})
            return
        try:
            body = handler(self, request, rest)
        except BadCall as bad_call:
            send_json(request, bad_call.status, {'error': str(bad_call)})
            return
        except ValidationError as error:
            send_json(request, http.BAD_REQUEST, {'error': format_validation_error(error)})
            return
        if body is not UNANSWERED:
            send_json(request, http.OK, body)

    def apply_down(self) -> None:
        """Close the long polls when the platform goes down."""
        if self.faults.down:
            for request in tuple(self.waiting):
                drop_connection(request)


def describe_objects(resource: PlatformResource, prefix: str, after: int = 0) -> dict[str, Any]:
    """Return the revision of the store and the objects under `prefix`."""
    found = resource.store.list_objects(prefix, after)
    return {
        'revision': resource.store.revision,
        'objects': [stored.describe() for stored in found],
    }


@routes('GET', 'objects')
def read_objects(resource: PlatformResource, request: Request, key: str) -> Any:
    """Return one object, or all under a prefix when no key is given."""
    if not key:
        return describe_objects(resource, read_argument(request, 'prefix', ''))
    stored = resource.store.objects.get(key)
    if stored is None:
        raise BadCall(http.NOT_FOUND, f'no object {key!r}')
    return stored.describe()


@routes('PUT', 'objects')
def write_object(resource: PlatformResource, request: Request, key: str) -> Any:
    """Write one object by a conditional write."""
    if not key:
        raise BadCall(http.BAD_REQUEST, 'object without a key')
    expected_version = read_expected_version(request)
    version = resource.store.write_object(key, expected_version, read_json_body(request))
    if version is None:
        resource.counters['conflicts'] += 1
        stored = resource.store.objects.get(key)
        body = {'version': 0, 'value': None} if stored is None else stored.describe()
        send_json(request, http.CONFLICT, body)
        return UNANSWERED
    if resource.faults.lose_next_write_answers:
        resource.faults.lose_next_write_answers -= 1
        resource.counters['lost_answers'] += 1
        drop_connection(request)
        return UNANSWERED
    return {'version': version}


@routes('GET', 'watch')
def watch_objects(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Return the changes after a revision; waits for one up to `timeout_ms`."""
    prefix = read_argument(request, 'prefix', '')
    after = read_number(request, 'after', 0)
    timeout_s = read_number(request, 'timeout_ms', DEFAULT_WATCH_MS) / MS_PER_S
    if timeout_s == 0 or resource.store.list_objects(prefix, after):
        return describe_objects(resource, prefix, after)
    start_watch(resource, request, Watch(prefix, after, lambda: timer.reset(0)))
    timer = resource.reactor.callLater(timeout_s, finish_watch, resource, request)
    request.notifyFinish().addErrback(lambda _: timer.active() and timer.cancel())
    return UNANSWERED


def start_watch(resource: PlatformResource, request: Request, watch: Watch) -> None:
    """Keep a long poll until it is answered or its client disconnects."""

    def unregister(_: Any) -> None:
        resource.store.remove_watch(watch)
        resource.waiting.discard(request)

    resource.store.watches.append(watch)
    resource.waiting.add(request)
    request.notifyFinish().addBoth(unregister)
    request.watch = watch


def finish_watch(resource: PlatformResource, request: Request) -> None:
    """Answer a long poll with the changes so far."""
    watch = request.watch
    send_json(request, http.OK, describe_objects(resource, watch.prefix, watch.after))


@routes('GET', 'vms')
def list_vms(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Return the VM list, delayed by `vm_lag_ms`."""
    return resource.vms.list_vms(time.monotonic() - resource.faults.vm_lag_ms / MS_PER_S)


@routes('PUT', 'vms')
def register_vm(resource: PlatformResource, request: Request, name: str) -> Any:
    """Register or change a VM."""
    body = read_json_body(request)
    if isinstance(body, dict):
        body.pop('name', None)
    entry = VmEntry.model_validate(body)
    resource.vms.record_change(name, entry.model_dump(), time.monotonic())
    return {}


@routes('DELETE', 'vms')
def remove_vm(resource: PlatformResource, request: Request, name: str) -> Any:
    """Remove a VM from the list."""
    resource.vms.record_change(name, None, time.monotonic())
    return {}


@routes('GET', 'faults')
def read_faults(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Return the faults in force."""
    return resource.faults.model_dump()


@routes('PUT', 'faults')
def set_faults(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Set the faults in the body; the others stay unchanged."""
    changes = PlatformFaults.model_validate(read_json_body(request))
    resource.faults = resource.faults.model_copy(update=changes.model_dump(exclude_unset=True))
    resource.apply_down()
    return resource.faults.model_dump()


class RestoreRequest(BaseModel):
    """Number of latest writes that a restore loses."""

    model_config = ConfigDict(extra='forbid')

    writes: NonNegativeInt


@routes('PUT', 'restore')
def restore_store(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Lose the latest writes, begin an era and close the long polls."""
    resource.store.restore(RestoreRequest.model_validate(read_json_body(request)).writes)
    for waiting in tuple(resource.waiting):
        drop_connection(waiting)
    return {'revision': resource.store.revision}


@routes('GET', 'counters')
def read_counters(resource: PlatformResource, request: Request, rest: str) -> Any:
    """Return the number of calls per method and route since the start."""
    return dict(resource.counters)


def build_platform_site(reactor: Any) -> Site:
    """Return a site that any reactor can listen with."""
    return Site(PlatformResource(reactor))
