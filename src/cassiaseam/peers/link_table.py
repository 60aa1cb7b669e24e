"""The open connections of one daemon, by peer."""

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import dataclass

from cassiaseam.peers.link import LinkContext, PeerLink

Resolver = Callable[[str], tuple[str, int] | None]


class PeerUnreachable(Exception):
    """No link to a peer could be opened."""


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """TLS settings of both sides of a connection."""

    server: ssl.SSLContext
    client: ssl.SSLContext


class LinkTable:
    """Opens, accepts and finds links.

    Attributes:
        links: Open links by VM; more than one only while both sides dial at the same time.
        unnamed_links: Accepted connections without a hello.
        dials: Dials under way by VM.
    """

    def __init__(
        self, context: LinkContext, resolve_address: Resolver, tls: TlsContexts | None = None
    ):
        self.context = context
        self.resolve_address = resolve_address
        self.tls = tls
        self.links: dict[str, list[PeerLink]] = {}
        self.unnamed_links: set[PeerLink] = set()
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
        """Close the listener only."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
            self.server = None

    async def close(self) -> None:
        """Close the listener, the dials and every link."""
        self.is_closing = True
        for dial in list(self.dials.values()):
            dial.cancel()
        named = [link for links in self.links.values() for link in links]
        for link in (*named, *self.unnamed_links):
            link.abort('transport stopped')
        await self.stop_listening()

    def make_incoming(self) -> PeerLink:
        """Return the protocol of an accepted connection."""
        link = PeerLink(self.context)
        self.unnamed_links.add(link)
        timeout_s = self.context.limits.connect_timeout_s
        asyncio.get_running_loop().call_later(timeout_s, self.check_hello, link)
        return link

    def check_hello(self, link: PeerLink) -> None:
        """Abort a connection whose peer did not say who it is."""
        if not link.ready.done():
            link.abort('no hello')

    def accept_link(self, link: PeerLink) -> None:
        """Enter a link whose peer is known; links of its earlier incarnation are dead."""
        self.unnamed_links.discard(link)
        for other in list(self.links.get(link.vm, ())):
            if other.incarnation != link.incarnation:
                other.abort('peer restarted')
        self.links.setdefault(link.vm, []).append(link)

    def forget_link(self, link: PeerLink) -> bool:
        """Remove a closed link; return whether it was the last one to its VM."""
        self.unnamed_links.discard(link)
        listed = self.links.get(link.vm, [])
        if link in listed:
            listed.remove(link)
        if not listed:
            self.links.pop(link.vm, None)
        return not listed

    def close_idle_links(self, vm: str) -> None:
        """Close the links to a silent VM that nothing watches; the next request dials again."""
        for link in list(self.links.get(vm, ())):
            if not link.is_busy():
                link.abort('the peer is silent on another link')

    def find_link(self, vm: str) -> PeerLink | None:
        """Return the open link to a VM; of two, both sides choose the same one."""
        usable = [link for link in self.links.get(vm, ()) if not link.draining]
        if not usable:
            return None
        own_dials_win = self.context.hello.vm < vm
        return max(usable, key=lambda link: link.dialled is own_dials_win)

    async def obtain_link(self, vm: str) -> PeerLink:
        """Return the link to a VM and open it if there is none.

        Raises:
            PeerUnreachable: The VM is unknown, refuses or does not answer.
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
        """Return the task that opens the link to a VM; one at a time per VM."""
        dial = self.dials.get(vm)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self.dial(vm))
            self.dials[vm] = dial
            dial.add_done_callback(lambda done: self.forget_dial(vm, done))
        return dial

    def forget_dial(self, vm: str, dial: 'asyncio.Task[PeerLink]') -> None:
        """Drop a finished dial; its error was given to those who waited."""
        self.dials.pop(vm, None)
        if not dial.cancelled() and dial.exception() is not None:
            self.context.counters['failed_dials'] += 1

    async def dial(self, vm: str) -> PeerLink:
        """Connect to a VM and exchange hellos.

        Raises:
            PeerUnreachable: The VM is unknown, refuses or does not answer in time.
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
        """Open the connection of a link and wait for the hello of the peer."""
        client_tls = self.tls.client if self.tls else None
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.context.limits.connect_timeout_s):
            await loop.create_connection(lambda: link, *address, ssl=client_tls)
            await asyncio.shield(link.ready)
