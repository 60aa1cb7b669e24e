"""Minimal HTTP object store with fault injection, for tests of the platform client."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit


class FakePlatform:
    """Object store; `faults` lists the faults of the next calls by HTTP method."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.vms = []
        self.faults = {'GET': [], 'PUT': []}
        self.calls = []
        self.before_read = None
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.url = f'http://{host}:{port}'
        return self

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                continue
        except (asyncio.IncompleteReadError, ConnectionError):
            self.calls.append('connection lost')
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        method, path, _ = (await reader.readuntil(b'\r\n')).decode().split(' ')
        headers = {}
        while (line := (await reader.readuntil(b'\r\n')).decode().strip()) != '':
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        self.calls.append(f'{method} {path}')
        fault = self.faults[method].pop(0) if self.faults[method] else ''
        if fault == 'lost_before':
            return False
        status, answer = await self.handle(method, path, headers, body)
        if fault == 'lost_after':
            return False
        if fault == 'slow':
            await asyncio.sleep(0.4)
        if fault == 'error':
            status, answer = 503, {}
        if fault == 'garbage':
            answer = 'no object'
        content = json.dumps(answer).encode()
        head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n'
        writer.write(head.encode() + content)
        await writer.drain()
        return True

    async def handle(self, method, path, headers, body):
        parts = urlsplit(path)
        query = {
            name: found[0] for name, found in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == '/vms':
            return 200, self.vms
        if parts.path.startswith('/vms/'):
            name = parts.path.removeprefix('/vms/')
            self.vms = [vm for vm in self.vms if vm['name'] != name]
            self.vms.append({**json.loads(body), 'name': name})
            return 200, {}
        if parts.path == '/objects':
            return 200, self.list(query['prefix'], 0)
        if parts.path == '/watch':
            return 200, await self.watch(query)
        key = unquote(parts.path.removeprefix('/objects/'))
        if method == 'PUT':
            return self.put(key, json.loads(body), int(headers['if-match']))
        if self.before_read is not None:
            self.before_read()
        return (200, self.objects[key]) if key in self.objects else (404, {})

    def put(self, key, value, version):
        found = self.objects.get(key, {'version': 0, 'value': None})
        if found['version'] != version:
            return 409, {'version': found['version'], 'value': found['value']}
        self.revision += 1
        self.objects[key] = {'key': key, 'version': self.revision, 'value': value}
        self.changed.set()
        return 200, {'version': self.revision}

    def list(self, prefix, after):
        found = [
            stored
            for key, stored in self.objects.items()
            if key.startswith(prefix) and stored['version'] > after
        ]
        return {'revision': self.revision, 'objects': found}

    async def watch(self, query):
        while not self.list(query['prefix'], int(query['after']))['objects']:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), int(query['timeout_ms']) / 1000)
            except TimeoutError:
                break
        return self.list(query['prefix'], int(query['after']))
