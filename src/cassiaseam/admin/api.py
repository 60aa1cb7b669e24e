"""Routes of the administration API (docs/design.md, section 5.5)."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from klein import Klein
from pydantic import TypeAdapter
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from cassiaseam.admin.access import AccessTable, Principal, check_access
from cassiaseam.admin.fanout import DaemonClient, GatheredResponses
from cassiaseam.admin.protocol import AdminBackend
from cassiaseam.admin.responses import (
    check_body_size,
    parse_timeline_query,
    read_argument,
    read_json_body,
    write_error,
    write_json,
)
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.observability.logs import log_event
from cassiaseam.plans.codec import encode_plan
from cassiaseam.plans.confirmation import find_displayed_state
from cassiaseam.plans.intents import parse_intent
from cassiaseam.plans.model import Plan
from cassiaseam.plans.planning import find_required_role
from cassiaseam.settings.model import Role
from cassiaseam.timeline.buffer import TimelinePage, TimelineQuery
from cassiaseam.timeline.merge import GapMark, TimelineEntry, merge_timeline_pages
from cassiaseam.timeline.render import encode_timeline_entry

INTERNAL_ERROR_MESSAGE = 'the request failed; see the log'
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_UNAVAILABLE = 503
SCOPES = frozenset(('', 'local', 'all', 'page'))

ApiResult = Result[Any, RequestError]
Handler = Callable[[Principal], Awaitable[ApiResult]]
_PAGE: TypeAdapter[TimelinePage] = TypeAdapter(TimelinePage)


class AdminApi:
    """The administration API of one daemon.

    Attributes:
        backend: Interface of the daemon.
        access: Tokens and their principals.
        daemon_client: Client for other daemons; None disables `scope=all`.
        clock: Returns seconds since the epoch.
        tasks: Requests in flight; asyncio itself holds only weak references to tasks.
    """

    app = Klein()

    def __init__(
        self,
        backend: AdminBackend,
        access: AccessTable,
        daemon_client: DaemonClient | None = None,
        clock: Callable[[], float] = time.time,
    ):
        self.backend = backend
        self.access = access
        self.daemon_client = daemon_client
        self.clock = clock
        self.tasks: set[asyncio.Future[bytes]] = set()

    @app.handle_errors(HTTPException)
    def handle_http_error(self, request: Any, failure: Any) -> bytes:
        """Respond to an unknown path or an unsupported method."""
        kind = ErrorKind.UNKNOWN_OBJECT
        if failure.check(MethodNotAllowed):
            kind = ErrorKind.UNSUPPORTED
        shown = f'{request.method.decode()} {request.path.decode(errors="replace")}'
        return write_error(request, RequestError(kind, f'there is no {shown[:200]}'))

    @app.handle_errors(Exception)
    def handle_unexpected_error(self, request: Any, failure: Any) -> bytes:
        """Respond to an unexpected exception without exposing its details."""
        logging.error('event=admin_request_failed path=%r %s', request.path, failure)
        return write_error(request, RequestError(ErrorKind.INTERNAL, INTERNAL_ERROR_MESSAGE))

    @app.route('/healthz', methods=['GET'])
    def show_health(self, request: Any) -> bytes:
        """Liveness check: responds while the event loop runs; requires no token."""
        return write_json(request, HTTP_OK, {'healthy': True})

    @app.route('/readyz', methods=['GET'])
    def show_readiness(self, request: Any) -> bytes:
        """Readiness check for load balancers; requires no token."""
        reasons = self.backend.find_unready_reasons()
        status = HTTP_UNAVAILABLE if reasons else HTTP_OK
        return write_json(request, status, {'ready': not reasons, 'reasons': reasons})

    @app.route('/metrics', methods=['GET'])
    def show_metrics(self, request: Any) -> bytes:
        """Return the metrics in the Prometheus text format."""
        found = self._authenticate(request, Role.VIEWER)
        if found.is_err():
            return write_error(request, found.unwrap_err())
        request.setHeader('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')
        return self.backend.render_metrics()

    @app.route('/v1/status', methods=['GET'])
    def show_status(self, request: Any) -> Deferred:
        """Return the status of this daemon, or of all daemons with `scope=all`."""

        async def handle(principal: Principal) -> ApiResult:
            local = _limit_status(self.backend.read_status(), principal)
            if read_argument(request, 'scope') != 'all':
                return Ok(local)
            gathered = await self._ask(request, '/v1/status', {'scope': 'local'})
            vms = {self.backend.vm: local, **gathered.answers}
            return Ok({'vms': vms, 'unreachable': gathered.unreachable})

        return self._run(request, Role.VIEWER, handle)

    @app.route('/v1/timeline', methods=['GET'])
    def show_timeline(self, request: Any) -> Deferred:
        """Return timeline records of this daemon, or merged ones of all with `scope=all`."""

        async def handle(principal: Principal) -> ApiResult:
            names = ('since', 'database', 'cursor')
            given = {name: read_argument(request, name) for name in names}
            parsed = parse_timeline_query(**given, now=self.clock())
            checked = check_access(principal, Role.VIEWER, given['database'])
            if parsed.is_err() or checked.is_err():
                return parsed if parsed.is_err() else checked
            query = parsed.unwrap()
            page = self.backend.read_timeline(query)
            if read_argument(request, 'scope') == 'page':
                return Ok(_encode_page(page, principal))
            gathered = GatheredResponses()
            if read_argument(request, 'scope') == 'all':
                since = str(query.since_ms)
                arguments = {**given, 'since': since, 'scope': 'page'}
                gathered = await self._ask(request, '/v1/timeline', arguments)
            return Ok(_merge_pages(page, gathered, query, principal))

        return self._run(request, Role.VIEWER, handle)

    @app.route('/v1/plans', methods=['POST'])
    def create_plan(self, request: Any) -> Deferred:
        """Create a plan for the intent in the body."""

        async def handle(principal: Principal) -> ApiResult:
            parsed = read_json_body(request).and_then(parse_intent)
            if parsed.is_err():
                return Err(parsed.unwrap_err())
            intent = parsed.unwrap()
            role = find_required_role(intent)
            checked = check_access(principal, role, intent.database)
            if checked.is_err():
                return Err(checked.unwrap_err())
            primary = await self._ask_primary(request, intent.database)
            made = await self.backend.plans.create_plan(
                intent, principal.team, self.clock(), primary
            )
            return made.map(self._show_plan)

        return self._run(request, Role.OPERATOR, handle, HTTP_CREATED)

    @app.route('/v1/plans', methods=['GET'])
    def list_plans(self, request: Any) -> Deferred:
        """Return the plans of the last two days."""

        async def handle(principal: Principal) -> ApiResult:
            listed = await self.backend.plans.list_plans(self.clock())
            if listed.is_err():
                return Err(listed.unwrap_err())
            seen = [plan for plan in listed.unwrap() if principal.may_see(plan.database)]
            return Ok({'plans': [self._show_plan(plan) for plan in seen]})

        return self._run(request, Role.VIEWER, handle)

    @app.route('/v1/plans/<plan_id>', methods=['GET'])
    def show_plan(self, request: Any, plan_id: str) -> Deferred:
        """Return one plan."""

        async def handle(principal: Principal) -> ApiResult:
            found = await self._find_plan(plan_id, principal, needs_intent_role=False)
            return found.map(self._show_plan)

        return self._run(request, Role.VIEWER, handle)

    @app.route('/v1/plans/<plan_id>/confirm', methods=['POST'])
    def confirm_plan(self, request: Any, plan_id: str) -> Deferred:
        """Confirm a plan, which puts it into force."""

        async def handle(principal: Principal) -> ApiResult:
            found = await self._find_plan(plan_id, principal)
            if found.is_err():
                return Err(found.unwrap_err())
            outcome = await self.backend.plans.confirm_plan(plan_id, principal.team, self.clock())
            return outcome.map(
                lambda done: {
                    'plan': done.plan.plan_id,
                    'shard': done.plan.shard,
                    'shard_version': done.shard_version,
                    'operator': done.operator,
                    'at': done.at,
                    'repeated': done.repeated,
                }
            )

        return self._run(request, Role.OPERATOR, handle)

    @app.route('/v1/plans/<plan_id>/cancel', methods=['POST'])
    def cancel_plan(self, request: Any, plan_id: str) -> Deferred:
        """Cancel a plan that is not in force."""

        async def handle(principal: Principal) -> ApiResult:
            found = await self._find_plan(plan_id, principal)
            if found.is_err():
                return Err(found.unwrap_err())
            done = await self.backend.plans.cancel_plan(plan_id, principal.team, self.clock())
            return done.map(self._show_plan)

        return self._run(request, Role.OPERATOR, handle)

    async def _find_plan(
        self, plan_id: str, principal: Principal, needs_intent_role: bool = True
    ) -> Result[Plan, RequestError]:
        if not plan_id.replace('-', '').isalnum():
            message = f'there is no plan {plan_id[:80]!r}'
            return Err(RequestError(ErrorKind.UNKNOWN_OBJECT, message))
        found = await self.backend.plans.read_plan(plan_id)
        if found.is_err():
            return Err(found.unwrap_err())
        plan = found.unwrap().plan
        parsed = parse_intent(plan.intent)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        role = find_required_role(parsed.unwrap()) if needs_intent_role else Role.VIEWER
        return check_access(principal, role, plan.database).map(lambda _: plan)

    def _show_plan(self, plan: Plan) -> dict[str, Any]:
        shown = encode_plan(plan)
        return {**shown, 'state': find_displayed_state(plan, self.clock()).value}

    async def _ask(self, request: Any, path: str, arguments: dict[str, str]) -> GatheredResponses:
        daemons = self.backend.list_daemons()
        if self.daemon_client is None:
            return GatheredResponses(unreachable=dict.fromkeys(daemons, 'not asked'))
        header = request.getHeader('Authorization') or ''
        return await self.daemon_client.query_daemons(daemons, path, arguments, header)

    async def _ask_primary(self, request: Any, database: str) -> str:
        """Return the primary as reported by the owner; '' if the owner is not another daemon."""
        owner = self.backend.plans.read_cluster(database).owners.get(database, '')
        address = self.backend.list_daemons().get(owner)
        if address is None or self.daemon_client is None:
            return ''
        header = request.getHeader('Authorization') or ''
        gathered = await self.daemon_client.query_daemons(
            {owner: address}, '/v1/status', {'scope': 'local'}, header
        )
        databases = gathered.answers.get(owner, {}).get('databases', {})
        return databases.get(database, {}).get('primary') or ''

    def _authenticate(self, request: Any, role: Role) -> Result[Principal, RequestError]:
        found = self.access.find_principal(request.getHeader('Authorization'))
        return found.and_then(lambda principal: check_access(principal, role))

    def _run(self, request: Any, role: Role, handle: Handler, status: int = HTTP_OK) -> Deferred:
        task = asyncio.ensure_future(self._answer(request, role, handle, status))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # Shielded, so that a client that disconnects does not cancel a confirmation in progress.
        return Deferred.fromFuture(asyncio.shield(task))

    async def _answer(self, request: Any, role: Role, handle: Handler, status: int) -> bytes:
        found = self._authenticate(request, role)
        if found.is_err():
            return write_error(request, found.unwrap_err())
        sized = check_body_size(request)
        if sized.is_err():
            return write_error(request, sized.unwrap_err())
        scope = read_argument(request, 'scope')
        if scope not in SCOPES:
            message = f'scope is local or all; found {scope[:80]!r}'
            return write_error(request, RequestError(ErrorKind.BAD_REQUEST, message))
        principal = found.unwrap()
        try:
            answered = await handle(principal)
        except Exception:
            logging.exception('event=admin_request_failed path=%r', request.path)
            answered = Err(RequestError(ErrorKind.INTERNAL, INTERNAL_ERROR_MESSAGE))
        if answered.is_ok():
            return write_json(request, status, answered.unwrap())
        error = answered.unwrap_err()
        path = request.path.decode(errors='replace')
        log_event('admin_refused', path=path, team=principal.team, error=error.kind.value)
        return write_error(request, error)


def _limit_status(status: dict[str, Any], principal: Principal) -> dict[str, Any]:
    databases = status.get('databases', {})
    seen = {name: shown for name, shown in databases.items() if principal.may_see(name)}
    return {**status, 'databases': seen}


def _encode_page(page: TimelinePage, principal: Principal) -> Any:
    encoded = _PAGE.dump_python(page, mode='json')
    encoded['records'] = [
        entry for entry in encoded['records'] if principal.may_see(entry['record']['database'])
    ]
    return encoded


def _merge_pages(
    own: TimelinePage, gathered: GatheredResponses, query: TimelineQuery, principal: Principal
) -> dict[str, Any]:
    pages = [own]
    unreachable = dict(gathered.unreachable)
    for name, answer in gathered.answers.items():
        try:
            pages.append(_PAGE.validate_python(answer))
        except ValueError:
            unreachable[name] = 'malformed answer'
    merged = merge_timeline_pages(pages, unreachable, query)
    seen = (entry for entry in merged.entries if _may_see_entry(entry, principal))
    return {'entries': list(map(encode_timeline_entry, seen)), 'cursor': merged.cursor}


def _may_see_entry(entry: TimelineEntry, principal: Principal) -> bool:
    return isinstance(entry, GapMark) or principal.may_see(entry.record.database)
