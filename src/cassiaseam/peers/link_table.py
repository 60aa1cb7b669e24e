"""Table of the open connections of one daemon, by peer."""

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import dataclass

from cassiaseam.peers.link import LinkContext, PeerLink

Resolver = Callable[[str], tuple[str, int] | None]


class PeerUnreachable(Exception):
    """A link to a peer could not be opened."""


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """TLS contexts for accepted and for dialled connections."""

    server: ssl.SSLContext
    client: ssl.SSLContext


class LinkTable:
    """Opens, accepts and looks up links.

    Attributes:
        links: Open links by VM; a VM has several only when both sides dialled at the same time.
        unidentified_links: Accepted connections whose hello has not arrived.
        dials: Dials in progress by VM.
    """

    def __init__(
        self, context: LinkContext, resolve_address: Resolver, tls: TlsContexts | None = None
    ):
        self.context = context
        self.resolve_address = resolve_address
        self.tls = tls
        self.links: dict[str, list[PeerLink]] = {}
        self.unidentified_links: set[PeerLink] = set()
        self.dials: dict[str, asyncio.Task[PeerLink]] = {}
        self.server: asyncio.Server | None = None
        self.is_closing = False
        context.on_ready = self.accept_link

    async def listen(self, host: str, port: int) -> int:
        """Listen on a numeric address and return the port in use."""
        loop = asyncio.get_running_loop()
        server_tls = self.tls.server if self.tls else None
        self.server = await loop.create_server(self.make_incoming, host, port, ssl=server_tls)
        return self.server.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        """Close the listener; open links stay."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
            self.server = None

    async def close(self) -> None:
        """Close the listener, cancel all dials and abort every link."""
        self.is_closing = True
        for dial in list(self.dials.values()):
            dial.cancel()
        named = [link for links in self.links.values() for link in links]
        for link in (*named, *self.unidentified_links):
            link.abort('transport stopped')
        await self.stop_listening()

    def make_incoming(self) -> PeerLink:
        """Create the protocol of an accepted connection."""
        link = PeerLink(self.context)
        self.unidentified_links.add(link)
        timeout_s = self.context.limits.connect_timeout_s
        asyncio.get_running_loop().call_later(timeout_s, self.check_hello, link)
        return link

    def check_hello(self, link: PeerLink) -> None:
        """Abort a connection whose peer sent no hello in time."""
        if not link.ready.done():
            link.abort('no hello')

    def accept_link(self, link: PeerLink) -> None:
        """Register an identified link and abort links of another incarnation of the peer."""
        self.unidentified_links.discard(link)
        for other in list(self.links.get(link.vm, ())):
            if other.incarnation != link.incarnation:
                other.abort('peer restarted')
        self.links.setdefault(link.vm, []).append(link)

    def remove_link(self, link: PeerLink) -> bool:
        """Remove a closed link and return whether its VM has no other link."""
        self.unidentified_links.discard(link)
        listed = self.links.get(link.vm, [])
        if link in listed:
            listed.remove(link)
        if not listed:
            self.links.pop(link.vm, None)
        return not listed

    def close_idle_links(self, vm: str) -> None:
        """Abort idle links to a silent VM, as they have no heartbeats; the next request dials."""
        for link in list(self.links.get(vm, ())):
            if not link.is_busy():
                link.abort('the peer is silent on another link')

    def find_link(self, vm: str) -> PeerLink | None:
        """Return the open link to a VM; of two links, both sides choose the same one."""
        usable = [link for link in self.links.get(vm, ()) if not link.draining]
        if not usable:
            return None
        prefer_own_dials = self.context.hello.vm < vm
        return max(usable, key=lambda link: link.dialled is prefer_own_dials)

    async def obtain_link(self, vm: str) -> PeerLink:
        """Return the link to a VM, dialling if there is none.

        Raises:
            PeerUnreachable: The VM is unknown, refuses the connection or does not answer.
        """
        link = self.find_link(vm)
        if link is not None:
            return link
        dial = self.start_dial(vm)
        await asyncio.wait((dial,))
        if dial.cancelled():
            raise PeerUnreachable('transport stopped')
        return dial.result()

    def start_dial(self, vm: str) -> 'asyncio.Task[PeerLink]':
        """Return the task that dials a VM; concurrent callers share it."""
        dial = self.dials.get(vm)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self.dial(vm))
            self.dials[vm] = dial
            dial.add_done_callback(lambda done: self.finish_dial(vm, done))
        return dial

    def finish_dial(self, vm: str, dial: 'asyncio.Task[PeerLink]') -> None:
        """Remove a finished dial and count a failure; those that await it get its error."""
        self.dials.pop(vm, None)
        if not dial.cancelled() and dial.exception() is not None:
            self.context.counters['failed_dials'] += 1

    async def dial(self, vm: str) -> PeerLink:
        """Connect to a VM and exchange hellos.

        Raises:
            PeerUnreachable: The VM is unknown, refuses the connection or does not answer in time.
        """
        address = self.resolve_address(vm)
        if address is None or self.is_closing:
            raise PeerUnreachable('address unknown')
        link = PeerLink(self.context, vm)
        try:
            await self.connect_link(link, address)
        except OSError as error:
            raise PeerUnreachable(str(error) or 'no answer') from error
        finally:
            if not link.ready.done():
                link.abort('dial given up')
        return link

    async def connect_link(self, link: PeerLink, address: tuple[str, int]) -> None:
        """Connect a link and wait for the hello of the peer."""
        client_tls = self.tls.client if self.tls else None
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.context.limits.connect_timeout_s):
            await loop.create_connection(lambda: link, *address, ssl=client_tls)
            await asyncio.shield(link.ready)
