"""Root resource of the API; responds with JSON even to malformed URLs."""

from typing import Any
from urllib.parse import unquote_to_bytes

from klein import Klein
from klein.resource import KleinResource

from cassiaseam.admin.responses import write_error
from cassiaseam.errors import ErrorKind, RequestError


class AdminResource(KleinResource):
    """Validates the URL before klein, which would respond to a malformed one in plain text."""

    def __init__(self, app: Klein):
        super().__init__(app)
        self.app = app

    def render(self, request: Any) -> Any:
        """Render a response, or start an asynchronous one."""
        try:
            unquote_to_bytes(request.uri).decode()
        except UnicodeDecodeError:
            message = 'the address is not UTF-8'
            return write_error(request, RequestError(ErrorKind.BAD_REQUEST, message))
        return super().render(request)
